/**
 * Compares two concurrency limits of a target by alternating between them in random order, and estimates by how much
 * the higher one makes runs slower. A change of the target's speed affects both limits alike, and so does a slower
 * route or dependency, so only the dependence on the concurrency remains. Comparing only what is observed would mistake
 * a slow target for a knee: while it is slow, its concurrency rises.
 */
export interface LimitTrialOptions {
    readonly low: number;
    readonly high: number;
    /** Duration of a phase with one of the limits. */
    readonly phaseMs: number;
    readonly startedAt: number;
    /** Whether the verdict `knee` lowers a limit, so that it must be certain; otherwise, a limit only stays. */
    readonly lowersLimit: boolean;
    /** Returns numbers in [0, 1). */
    readonly rand: () => number;
}

/** `knee`: above the lower limit, runs get slower by more than is accepted. */
export type TrialVerdict = "knee" | "no-knee" | "inconclusive";

interface Phase {
    id: number;
    isHigh: boolean;
    sum: number;
    count: number;
}

/** Pairs with enough samples that a verdict needs, and one that lowers a limit. */
const MIN_PAIRS = 3;
const MIN_PAIRS_TO_LOWER = 5;
const MAX_PAIRS = 20;
/** A phase with fewer samples says too little. */
const MIN_SAMPLES_PER_PHASE = 6;
/** Runs at the lower limit count from this share of it on: less concurrent ones are not affected by the limit. */
const MIN_CONCURRENCY_SHARE = 0.8;
/**
 * Standard errors that make a verdict certain that lowers a limit, and the addition for few pairs. The trials are repeated all day and
 * evaluated after each pair, so a usual threshold of 2 would lower limits by chance.
 */
const STANDARD_ERRORS_TO_LOWER = 2.5;
const FEW_PAIRS_ADDITION = 6;
/** A verdict that lowers no limit needs less certainty, since the trial itself has a cost. */
const STANDARD_ERRORS = 1;

let lastPhaseId = 0;

export class LimitTrial {
    readonly low: number;
    readonly high: number;
    /** The current pair of phases, then the previous one, whose runs still complete. */
    private phases: readonly [Phase, Phase, Phase, Phase];
    private phaseIndex = 0;
    private phaseEndsAt: number;
    private pairCount = 0;
    private validPairs = 0;
    private mean = 0;
    private squares = 0;

    constructor(private readonly options: LimitTrialOptions) {
        this.low = options.low;
        this.high = options.high;
        this.phaseEndsAt = options.startedAt + options.phaseMs;
        this.phases = [...this.makePair(), ...this.makePair()];
    }

    get isHighPhase(): boolean {
        return this.phases[this.phaseIndex]!.isHigh;
    }

    /** Limit in the current phase. */
    get limit(): number {
        return this.isHighPhase ? this.high : this.low;
    }

    /** Identifies the current phase in the runs that start in it; never 0. */
    get phaseId(): number {
        return this.phases[this.phaseIndex]!.id;
    }

    /** `relativeTime`: service time relative to the baseline. `concurrency`: requests at the target at the start. */
    record(phaseId: number, relativeTime: number, concurrency: number): void {
        for (const phase of this.phases) {
            if (phase.id !== phaseId) continue;
            // A run at the lower end of a high phase says little about the higher limit.
            const minConcurrency = phase.isHigh
                ? (this.low + this.high + 1) / 2
                : this.low * MIN_CONCURRENCY_SHARE;
            if (concurrency < minConcurrency) return;
            phase.sum += relativeTime;
            phase.count++;
            return;
        }
    }

    /**
     * Starts the next phase when it is due. `elasticity`: accepted relative increase of the service time per relative
     * increase of the concurrency. Returns a verdict when there is one.
     */
    advance(now: number, elasticity: number): TrialVerdict | undefined {
        if (now < this.phaseEndsAt) return undefined;
        this.phaseEndsAt = now + this.options.phaseMs;
        if (this.phaseIndex === 0) {
            this.phaseIndex = 1;
            return undefined;
        }
        this.phaseIndex = 0;
        const [first, second, ...previous] = this.phases;
        this.addPair(...previous);
        this.phases = [...this.makePair(), first, second];
        return this.pairCount++ === 0 ? undefined : this.verdict(elasticity);
    }

    private makePair(): [Phase, Phase] {
        const isHigh = this.options.rand() < 0.5;
        return [
            { id: ++lastPhaseId, isHigh, sum: 0, count: 0 },
            { id: ++lastPhaseId, isHigh: !isHigh, sum: 0, count: 0 },
        ];
    }

    private addPair(first: Phase, second: Phase): void {
        if (first.count < MIN_SAMPLES_PER_PHASE || second.count < MIN_SAMPLES_PER_PHASE) return;
        const [high, low] = first.isHigh ? [first, second] : [second, first];
        const difference = Math.log(high.sum / high.count / (low.sum / low.count));
        this.validPairs++;
        const fromMean = difference - this.mean;
        this.mean += fromMean / this.validPairs;
        this.squares += fromMean * (difference - this.mean);
    }

    private verdict(elasticity: number): TrialVerdict | undefined {
        const pairs = this.validPairs;
        if (pairs >= MIN_PAIRS) {
            const standardError = Math.sqrt(this.squares / (pairs - 1) / pairs);
            const excess = this.mean - elasticity * Math.log(this.high / this.low);
            const { lowersLimit } = this.options;
            const requiredErrors = lowersLimit
                ? STANDARD_ERRORS_TO_LOWER + FEW_PAIRS_ADDITION / pairs
                : STANDARD_ERRORS;
            const isKneeAllowed = !lowersLimit || pairs >= MIN_PAIRS_TO_LOWER;
            if (isKneeAllowed && excess > standardError * requiredErrors) return "knee";
            if (excess < -standardError * STANDARD_ERRORS) return "no-knee";
        }
        return this.pairCount > MAX_PAIRS ? "inconclusive" : undefined;
    }
}
