/**
 * A stand-in for callers that generates load. It sends requests at a rate that does not depend on the responses,
 * retries those that fail, as impatient callers do, and counts the outcomes.
 */
import { randomBytes } from "node:crypto";
import { Agent, request } from "undici";
import { v7 as uuidv7 } from "uuid";
import type { Address } from "../types.ts";
import { formatAddress } from "../types.ts";

const TICK_INTERVAL_MS = 10;
const MAX_CONNECTIONS = 512;
const RESPONSE_TIMEOUT_MS = 60_000;

export interface CallerOptions {
    readonly entries: readonly Address[];
    readonly kind?: string | undefined;
    readonly path: string;
    readonly ratePerS: number;
    /** Maximum number of retries of one request after a refusal or another failure. */
    readonly maxRetries: number;
    /** Upper bound of the random wait before the first retry; it doubles with each further retry. */
    readonly backoffMs: number;
    /** Whether to send an idempotency key, which is the same for all attempts of a request. */
    readonly withIdempotencyKeys: boolean;
}

/** Counts by outcome: `ok`, the outcome and reason from the response body, or the status or connection error. */
export type OutcomeCounts = Readonly<Record<string, number>>;

export class Caller {
    private readonly opts: CallerOptions;
    private readonly agent = new Agent({ connections: MAX_CONNECTIONS });
    private readonly counts = new Map<string, number>();
    private readonly inFlight = new Set<Promise<void>>();
    private timer: NodeJS.Timeout | undefined;
    private nextEntry = 0;
    private isStopping = false;

    constructor(opts: CallerOptions) {
        this.opts = opts;
    }

    start(): void {
        const startedAt = performance.now();
        let sent = 0;
        this.timer = setInterval(() => {
            const due = Math.floor((performance.now() - startedAt) / 1_000 * this.opts.ratePerS);
            for (; sent < due; sent++) {
                const pending = this.sendWithRetries().finally(() => this.inFlight.delete(pending));
                this.inFlight.add(pending);
            }
        }, TICK_INTERVAL_MS);
    }

    /** Stops sending new requests and waits for those in flight. */
    async stop(): Promise<void> {
        this.isStopping = true;
        clearInterval(this.timer);
        await Promise.all(this.inFlight);
        await this.agent.close();
    }

    /** `requests` counts each request once and `resends` its retries. All other entries count final outcomes. */
    outcomes(): OutcomeCounts {
        return Object.fromEntries([...this.counts].sort(([a], [b]) => a.localeCompare(b)));
    }

    private async sendWithRetries(): Promise<void> {
        this.incrementCount("requests");
        const key = this.opts.withIdempotencyKeys ? uuidv7() : undefined;
        for (let retries = 0;; retries++) {
            const result = await this.sendAttempt(key);
            if (result.outcome === "ok" || retries >= this.opts.maxRetries || this.isStopping) {
                return this.incrementCount(result.outcome);
            }
            this.incrementCount("resends");
            // Full jitter spreads the retries of many callers; `retry-after` is the lower bound of the wait.
            const backoffMs = Math.random() * this.opts.backoffMs * 2 ** retries;
            await new Promise(resolve => setTimeout(resolve, result.retryAfterMs + backoffMs));
        }
    }

    private async sendAttempt(
        key: string | undefined,
    ): Promise<{ readonly outcome: string; readonly retryAfterMs: number; }> {
        const { entries, kind, path } = this.opts;
        const entry = entries[this.nextEntry++ % entries.length]!;
        const traceId = randomBytes(16).toString("hex");
        try {
            const response = await request(`http://${formatAddress(entry)}${path}`, {
                method: "POST",
                dispatcher: this.agent,
                signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
                headers: {
                    traceparent: `00-${traceId}-${randomBytes(8).toString("hex")}-01`,
                    ...(kind === undefined ? {} : { baggage: `fp.kind=${encodeURIComponent(kind)}` }),
                    ...(key === undefined ? {} : { "idempotency-key": key }),
                },
            });
            const responseBody = await response.body.text();
            const retryAfterS = Number(response.headers["retry-after"] ?? 0);
            return {
                outcome: response.statusCode === 200 ? "ok" : outcomeName(response.statusCode, responseBody),
                retryAfterMs: retryAfterS > 0 ? retryAfterS * 1_000 : 0,
            };
        }
        catch (err) {
            const code = (err as { code?: unknown; } | undefined)?.code;
            return { outcome: `failed: ${typeof code === "string" ? code : "no answer"}`, retryAfterMs: 0 };
        }
    }

    private incrementCount(outcome: string): void {
        this.counts.set(outcome, (this.counts.get(outcome) ?? 0) + 1);
    }
}

function outcomeName(status: number, responseBody: string): string {
    try {
        const body = JSON.parse(responseBody) as { readonly outcome?: unknown; readonly reason?: unknown; };
        if (typeof body.outcome === "string") return `${body.outcome}: ${String(body.reason)}`;
    }
    catch {
        // The response body of a target need not be JSON.
    }
    return `status ${status}`;
}
