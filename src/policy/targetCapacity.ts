/**
 * Learns the concurrency limit of a target from the service times of its runs. The limit is lowered only on evidence of
 * a knee, i.e. a concurrency above which more runs mainly make all of them slower. A target that is slow at any
 * concurrency keeps its limit; callers see its service time. See docs/design/learned-capacity.md.
 *
 * There are two limits. While other targets have room, the *knee limit* applies: above it, the service time rises
 * nearly as much as the concurrency. While the target's queue shows that callers have no room elsewhere, the *peak
 * limit* applies, at which most runs are completed per second.
 */
import { KneeSigns } from "./kneeSigns.ts";
import { LimitTrial } from "./limitTrial.ts";
import type { TrialVerdict } from "./limitTrial.ts";
import { RouteBaselines } from "./routeBaselines.ts";

export interface TargetCapacityOptions {
    /** Returns numbers in [0, 1). */
    readonly rand: () => number;
    readonly onLimitChange?: (limit: number, previous: number) => void;
}

/**
 * The limits never fall below this share of the slots and this number of them: a wrong conclusion must leave the target
 * useful, and fewer runs at once give too few samples to correct it.
 */
const MIN_SLOT_SHARE = 0.25;
const MIN_SLOTS = 4;
/** Accepted relative increase of the service time per relative increase of the concurrency. */
const ELASTICITY_WITH_ROOM = 0.8;
/** From 1 on, more concurrency lowers the number of runs completed per second. */
const ELASTICITY_WITHOUT_ROOM = 1;
/** First difference between the limits of a trial; it doubles after each trial that changes the limit. */
const FIRST_STEP = 0.06;
const MAX_STEP = 0.24;
/**
 * Time until the next trial after one that changed the limit, and after one that did not; the latter doubles each time,
 * since a trial of a lower limit costs about 3 % of the throughput while it takes place.
 */
const PAUSE_AFTER_CHANGE_MS = 1000;
const PAUSE_MS = 10_000;
const MAX_PAUSE_MS = 80_000;
/** Maximum pause while the limit is lowered: when the knee is gone, the limit should soon return. */
const MAX_PAUSE_WHEN_LOWERED_MS = 20_000;
/** Phases last for several service times, so that most runs of a phase also end in it. */
const SERVICE_TIMES_PER_PHASE = 4;
const MIN_PHASE_MS = 200;
const MAX_PHASE_MS = 1000;
/** Ticks of 100 ms with a queue, or without one, after which callers count as having no room elsewhere, or room. */
const QUEUE_TICKS = 5;
/** The limit counts as used if the target reached it in this share of the recent ticks. */
const MIN_USED_SHARE = 0.5;
/** Without signs of a knee, the limit must have been used for about 2 s: a short overload is no time for trials. */
const MIN_USED_SHARE_WITHOUT_SIGNS = 0.75;
const USE_SMOOTHING = 0.1;
const SPEED_SMOOTHING = 0.3;
const TICKS_PER_SECOND = 10;
/** A limit change by this share since the last logged one is logged. */
const LOGGED_CHANGE = 0.1;

type Direction = "down" | "up";

export class TargetCapacity {
    private readonly baselines = new RouteBaselines();
    private readonly kneeSigns = new KneeSigns();
    private maxLimit = 1;
    private minLimit = 1;
    private kneeLimit = 1;
    private peakLimit = 1;
    private loggedLimit = 1;
    private trial: LimitTrial | undefined;
    private direction: Direction = "down";
    private step = FIRST_STEP;
    private pauseMs = PAUSE_MS;
    private nextTrialAt = 0;
    /** Ticks in a row with a queue (positive) or without one (negative). */
    private queueTicks = 0;
    private isWithoutRoom = false;
    private peakRunning = 0;
    private usedShare = 0;
    private relativeTimeSum = 0;
    private relativeTimeCount = 0;
    private smoothedRelativeTime = 1;
    private ticks = 0;

    constructor(private readonly options: TargetCapacityOptions) {}

    /** The limit that is reported to callers. It does not change with the phases of a trial. */
    get limit(): number {
        return this.isWithoutRoom ? this.peakLimit : this.kneeLimit;
    }

    /** Speed relative to the baseline of the last minute; below 1 if the target is slower. */
    get relativeSpeed(): number {
        return 1 / this.smoothedRelativeTime;
    }

    /** Whether the target's queue shows that callers have no room elsewhere. */
    get hasNoRoomElsewhere(): boolean {
        return this.isWithoutRoom;
    }

    /** Phase in which a run starts now, to be passed to `record`. */
    get phaseId(): number {
        return this.trial?.phaseId ?? 0;
    }

    /**
     * Applies the announced slots. `maxLimit` is the highest permitted limit. Limits below it that were learned are
     * kept unless the target is another one (`isOtherTarget`).
     */
    setSlots(slots: number, maxLimit: number, isOtherTarget: boolean): void {
        const wasAtMax = this.kneeLimit >= this.maxLimit && this.peakLimit >= this.maxLimit;
        if (isOtherTarget) this.baselines.clear();
        if (maxLimit === this.maxLimit && !isOtherTarget) return;
        this.maxLimit = maxLimit;
        this.minLimit = Math.min(maxLimit, Math.max(MIN_SLOTS, Math.ceil(slots * MIN_SLOT_SHARE)));
        if (isOtherTarget || wasAtMax) this.kneeLimit = this.peakLimit = maxLimit;
        this.kneeLimit = this.clamp(this.kneeLimit);
        this.peakLimit = this.clamp(this.peakLimit);
        this.loggedLimit = this.limit;
        this.trial = undefined;
        this.pauseMs = PAUSE_MS;
        this.step = FIRST_STEP;
    }

    /** Number of runs below which another one may start. Only idempotent runs start above the learned limit. */
    limitFor(isIdempotent: boolean): number {
        const { trial } = this;
        if (trial === undefined) return this.limit;
        return isIdempotent || this.isWithoutRoom ? trial.limit : Math.min(trial.limit, this.limit);
    }

    /** Records that a run has started, as the last of `running` ones. */
    recordStart(running: number): void {
        if (running > this.peakRunning) this.peakRunning = running;
    }

    /**
     * Records a successful run without nested calls. Failures say nothing about the speed, and the time of a run that
     * makes calls depends on other targets. `concurrency` and `phaseId` are those at its start.
     */
    record(route: string, elapsedMs: number, concurrency: number, phaseId: number, now: number): void {
        const relativeTime = this.baselines.record(route, elapsedMs, now);
        if (relativeTime === 0) return;
        this.relativeTimeSum += relativeTime;
        this.relativeTimeCount++;
        this.kneeSigns.record(relativeTime, concurrency, this.limit);
        if (phaseId !== 0) this.trial?.record(phaseId, relativeTime, concurrency);
    }

    /** Called every 100 ms with the numbers of running and queued runs and the smoothed service time. */
    tick(now: number, running: number, queued: number, serviceMs: number): void {
        this.updateRoom(queued);
        const isUsed = Math.max(running, this.peakRunning) >= this.limitFor(true);
        this.usedShare += USE_SMOOTHING * ((isUsed ? 1 : 0) - this.usedShare);
        this.peakRunning = 0;
        if (++this.ticks % TICKS_PER_SECOND === 0) this.endSecond(now);
        this.kneeSigns.tick();
        if (this.trial !== undefined) this.advanceTrial(now);
        else if (now >= this.nextTrialAt && this.usedShare >= MIN_USED_SHARE) this.startTrial(now, serviceMs);
    }

    /** The lower limit of a trial causes a queue itself, so its phases do not count. */
    private updateRoom(queued: number): void {
        if (this.trial?.isHighPhase === false) return;
        if (queued > 0) this.queueTicks = Math.max(1, this.queueTicks + 1);
        else this.queueTicks = Math.min(-1, this.queueTicks - 1);
        const isWithoutRoom = this.isWithoutRoom
            ? this.queueTicks > -QUEUE_TICKS
            : this.queueTicks >= QUEUE_TICKS;
        if (isWithoutRoom === this.isWithoutRoom) return;
        this.isWithoutRoom = isWithoutRoom;
        // The trial and the step were about the other limit.
        this.trial = undefined;
        this.step = FIRST_STEP;
    }

    private endSecond(now: number): void {
        this.baselines.endSecond(now);
        if (this.relativeTimeCount === 0) return;
        const relativeTime = this.relativeTimeSum / this.relativeTimeCount;
        this.smoothedRelativeTime += SPEED_SMOOTHING * (relativeTime - this.smoothedRelativeTime);
        this.relativeTimeSum = 0;
        this.relativeTimeCount = 0;
    }

    private startTrial(now: number, serviceMs: number): void {
        const { limit } = this;
        const difference = Math.max(1, Math.round(limit * this.step));
        this.direction = this.nextDirection();
        const low = this.direction === "down" ? this.clamp(limit - difference) : limit;
        const high = this.direction === "down" ? limit : this.clamp(limit + difference);
        if (low === high) return;
        // At the maximum limit under a lasting load, all runs are near the limit, so that there may be no signs.
        const areSignsRequired = limit < this.maxLimit || !this.isWithoutRoom;
        if (this.direction === "down" && !this.kneeSigns.allowsTrial(areSignsRequired)) return;
        if (this.usedShare < MIN_USED_SHARE_WITHOUT_SIGNS && !this.kneeSigns.allowsTrial(true)) return;
        const phaseMs = Math.min(MAX_PHASE_MS, Math.max(MIN_PHASE_MS, serviceMs * SERVICE_TIMES_PER_PHASE));
        this.trial = new LimitTrial({
            low,
            high,
            phaseMs,
            startedAt: now,
            lowersLimit: this.direction === "down",
            rand: this.options.rand,
        });
    }

    /** A lowered limit is lowered further only where runs near it are slower; otherwise, a higher one is tried. */
    private nextDirection(): Direction {
        if (this.limit >= this.maxLimit) return "down";
        if (this.limit <= this.minLimit || !this.kneeSigns.allowsTrial(true)) return "up";
        return this.direction;
    }

    private advanceTrial(now: number): void {
        const elasticity = this.isWithoutRoom ? ELASTICITY_WITHOUT_ROOM : ELASTICITY_WITH_ROOM;
        const verdict = this.trial!.advance(now, elasticity);
        if (verdict !== undefined) this.endTrial(verdict, now);
    }

    private endTrial(verdict: TrialVerdict, now: number): void {
        const { low, high } = this.trial!;
        this.trial = undefined;
        if (this.direction === "down" && verdict === "knee") this.changeLimit(low, now);
        else if (this.direction === "up" && verdict === "no-knee") this.changeLimit(high, now);
        else {
            this.step = FIRST_STEP;
            this.nextTrialAt = now + this.pauseMs;
            const maxPauseMs = this.limit < this.maxLimit ? MAX_PAUSE_WHEN_LOWERED_MS : MAX_PAUSE_MS;
            this.pauseMs = Math.min(maxPauseMs, this.pauseMs * 2);
            this.direction = this.direction === "down" ? "up" : "down";
        }
    }

    private changeLimit(limit: number, now: number): void {
        this.kneeSigns.clear();
        if (this.isWithoutRoom) {
            this.peakLimit = limit;
            this.kneeLimit = Math.min(this.kneeLimit, limit);
        }
        else {
            this.kneeLimit = limit;
            this.peakLimit = Math.max(this.peakLimit, limit);
        }
        this.step = Math.min(MAX_STEP, this.step * 2);
        this.pauseMs = PAUSE_MS;
        this.nextTrialAt = now + PAUSE_AFTER_CHANGE_MS;
        if (Math.abs(limit - this.loggedLimit) < this.loggedLimit * LOGGED_CHANGE) return;
        this.options.onLimitChange?.(limit, this.loggedLimit);
        this.loggedLimit = limit;
    }

    private clamp(limit: number): number {
        return Math.min(this.maxLimit, Math.max(this.minLimit, limit));
    }
}
