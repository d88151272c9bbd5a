/**
 * A stand-in for callers: sends requests at a rate that does not depend on the answers, resends refused and
 * unknown ones as impatient callers do, and counts the outcomes.
 */
import { randomBytes } from "node:crypto";
import { Agent, request } from "undici";
import { v7 as uuidv7 } from "uuid";
import type { Address } from "../types.ts";
import { formatAddress } from "../types.ts";

const TICK_MS = 10;
const CONNECTIONS = 512;
const ANSWER_LIMIT_MS = 60_000;

export interface CallerOptions {
    readonly entries: readonly Address[];
    readonly kind?: string | undefined;
    readonly path: string;
    readonly ratePerS: number;
    /** Resends of one request after a refusal or an unknown outcome. */
    readonly resends: number;
    /** Bound of the wait before the first resend; the bound doubles with each, and the wait is random below it. */
    readonly backoffMs: number;
    /** Send an idempotency key that stays the same for every resend. */
    readonly keys: boolean;
}

/** Counts by outcome: `ok`, the outcome and reason of a refusal, or what else happened. */
export type OutcomeCounts = Readonly<Record<string, number>>;

export class Caller {
    private readonly opts: CallerOptions;
    private readonly agent = new Agent({ connections: CONNECTIONS });
    private readonly counts = new Map<string, number>();
    private readonly open = new Set<Promise<void>>();
    private timer: NodeJS.Timeout | undefined;
    private next = 0;
    private stopping = false;

    constructor(opts: CallerOptions) {
        this.opts = opts;
    }

    start(): void {
        const startedAt = performance.now();
        let sent = 0;
        this.timer = setInterval(() => {
            const due = Math.floor((performance.now() - startedAt) / 1_000 * this.opts.ratePerS);
            for (; sent < due; sent++) {
                const sending = this.send().finally(() => this.open.delete(sending));
                this.open.add(sending);
            }
        }, TICK_MS);
    }

    /** Stops sending new requests and waits for the answers of those that are open. */
    async stop(): Promise<void> {
        this.stopping = true;
        clearInterval(this.timer);
        await Promise.all(this.open);
        await this.agent.close();
    }

    /** `requests` counts each request once; the other counts are of its final outcomes, but for `resends`. */
    outcomes(): OutcomeCounts {
        return Object.fromEntries([...this.counts].sort(([a], [b]) => a.localeCompare(b)));
    }

    private async send(): Promise<void> {
        this.count("requests");
        const key = this.opts.keys ? uuidv7() : undefined;
        for (let resends = 0;; resends++) {
            const answer = await this.sendOnce(key);
            if (answer.outcome === "ok" || resends >= this.opts.resends || this.stopping) {
                return this.count(answer.outcome);
            }
            this.count("resends");
            // Full jitter spreads the resends of many callers; `retry-after` is a lower bound.
            const backoffMs = Math.random() * this.opts.backoffMs * 2 ** resends;
            await new Promise(resolve => setTimeout(resolve, answer.retryAfterMs + backoffMs));
        }
    }

    private async sendOnce(
        key: string | undefined,
    ): Promise<{ readonly outcome: string; readonly retryAfterMs: number; }> {
        const { entries, kind, path } = this.opts;
        const entry = entries[this.next++ % entries.length]!;
        const traceId = randomBytes(16).toString("hex");
        try {
            const response = await request(`http://${formatAddress(entry)}${path}`, {
                method: "POST",
                dispatcher: this.agent,
                signal: AbortSignal.timeout(ANSWER_LIMIT_MS),
                headers: {
                    traceparent: `00-${traceId}-${randomBytes(8).toString("hex")}-01`,
                    ...(kind === undefined ? {} : { baggage: `fp.kind=${encodeURIComponent(kind)}` }),
                    ...(key === undefined ? {} : { "idempotency-key": key }),
                },
            });
            const text = await response.body.text();
            const retryAfterS = Number(response.headers["retry-after"] ?? 0);
            return {
                outcome: response.statusCode === 200 ? "ok" : nameOf(response.statusCode, text),
                retryAfterMs: retryAfterS > 0 ? retryAfterS * 1_000 : 0,
            };
        }
        catch (err) {
            const code = (err as { code?: unknown; } | undefined)?.code;
            return { outcome: `failed: ${typeof code === "string" ? code : "no answer"}`, retryAfterMs: 0 };
        }
    }

    private count(outcome: string): void {
        this.counts.set(outcome, (this.counts.get(outcome) ?? 0) + 1);
    }
}

function nameOf(status: number, text: string): string {
    try {
        const body = JSON.parse(text) as { readonly outcome?: unknown; readonly reason?: unknown; };
        if (typeof body.outcome === "string") return `${body.outcome}: ${String(body.reason)}`;
    }
    catch {
        // The answer of a target may be any text.
    }
    return `status ${status}`;
}
