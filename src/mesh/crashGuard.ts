/**
 * Keeps requests that crash their targets away from them. The node beside a target reports each crash to all nodes with
 * the fingerprints of the requests that were in progress; the node at which a request arrives refuses it while it is
 * blocked. Without suspects, no fingerprint is computed.
 */
import { createHash } from "node:crypto";
import * as v from "valibot";
import { piecesOf } from "../http/body.ts";
import { CrashSuspects } from "../policy/crashSuspects.ts";
import { steadyNow } from "./clock.ts";
import type { EventLog } from "./eventLog.ts";
import type { ForwardedRequest } from "./types.ts";

/** What identifies a request that its caller sends again: each attempt has a request id of its own. */
type RequestContent = Pick<ForwardedRequest, "service" | "callerService" | "method" | "path" | "body">;

export interface CrashGuardOptions {
    readonly name: string;
    readonly log: EventLog;
    /** Sends a report to all connected nodes. */
    readonly broadcast: (report: CrashReport) => void;
}

const FINGERPRINT_BYTES = 12;
const MAX_ENTRIES = 512;

const fingerprintSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(32));
const countSchema = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const crashIdSchema = v.pipe(v.string(), v.maxLength(300));
const reportSchema = v.object({
    /** A crash and the fingerprints of the requests that were in progress. */
    crash: v.optional(v.object({
        id: crashIdSchema,
        fingerprints: v.pipe(v.array(fingerprintSchema), v.maxLength(MAX_ENTRIES)),
    })),
    /** Fingerprints of requests that a target has answered. */
    cleared: v.optional(v.pipe(v.array(fingerprintSchema), v.maxLength(MAX_ENTRIES))),
    /** All suspects of the sender, for a node that it has just connected to. */
    suspects: v.optional(v.pipe(
        v.array(v.object({
            fingerprint: fingerprintSchema,
            crashes: v.pipe(v.array(crashIdSchema), v.maxLength(64)),
            blocks: countSchema,
            blockedForMs: v.pipe(v.number(), v.minValue(0)),
        })),
        v.maxLength(MAX_ENTRIES),
    )),
});

export type CrashReport = v.InferInput<typeof reportSchema>;

export class CrashGuard {
    private readonly suspects = new CrashSuspects();
    private cleared: string[] = [];
    private crashCount = 0;

    constructor(private readonly options: CrashGuardOptions) {}

    /** Whether a request may be sent to a target. */
    admit(req: RequestContent): boolean {
        return this.suspects.isEmpty || this.suspects.admit(fingerprintOf(req), steadyNow());
    }

    /** Time in ms until a refused request may be sent again. */
    blockedForMs(req: RequestContent): number {
        return this.suspects.blockedForMs(fingerprintOf(req), steadyNow());
    }

    /** Handles a crash of the local target. */
    onCrash(requests: readonly ForwardedRequest[]): void {
        const id = `${this.options.name}:${Date.now()}:${++this.crashCount}`;
        const fingerprints = [...new Set(requests.map(fingerprintOf))];
        this.options.log.unlimitedEvent("target-crashed", {
            requests: requests.length,
            suspects: fingerprints.length,
        });
        this.recordCrash(id, fingerprints);
        this.options.broadcast({ crash: { id, fingerprints } });
    }

    /** Handles a response of the local target, whatever its status. */
    onAnswered(req: RequestContent): void {
        if (this.suspects.isEmpty) return;
        const fingerprint = fingerprintOf(req);
        if (!this.suspects.has(fingerprint)) return;
        this.suspects.clear([fingerprint]);
        this.cleared.push(fingerprint);
    }

    /** Tells the other nodes which suspects were cleared. Called at regular intervals. */
    tick(): void {
        if (this.cleared.length === 0) return;
        const { cleared } = this;
        this.cleared = [];
        this.options.broadcast({ cleared });
    }

    /** Report for a node that may have just started; `undefined` if there is nothing to report. */
    stateReport(): CrashReport | undefined {
        return this.suspects.isEmpty
            ? undefined
            : { suspects: [...this.suspects.states(steadyNow())].map(toMutable) };
    }

    /** Handles another node's report. */
    onReport(input: unknown): void {
        const result = v.safeParse(reportSchema, input);
        if (!result.success) {
            this.options.log.event("crash-report-unreadable", { cause: result.issues[0].message });
            return;
        }
        const { crash, cleared, suspects } = result.output;
        if (crash !== undefined) this.recordCrash(crash.id, crash.fingerprints);
        if (cleared !== undefined) this.suspects.clear(cleared);
        if (suspects !== undefined) this.suspects.merge(suspects, steadyNow());
    }

    private recordCrash(id: string, fingerprints: readonly string[]): void {
        for (const fingerprint of this.suspects.recordCrash(id, fingerprints, steadyNow())) {
            this.options.log.unlimitedEvent("request-blocked", { fingerprint });
        }
    }
}

function fingerprintOf({ service, callerService, method, path, body }: RequestContent): string {
    const hash = createHash("sha256").update(`${service}\n${callerService}\n${method}\n${path}\n`);
    for (const piece of piecesOf(body)) hash.update(piece);
    return hash.digest().subarray(0, FINGERPRINT_BYTES).toString("base64url");
}

function toMutable<T extends { readonly crashes: readonly string[]; }>(state: T) {
    return { ...state, crashes: [...state.crashes] };
}
