/** What the result of an exchange with the target says about a run. */
import type { ExchangeResult } from "./targetConnectionPool.ts";
import type { Outcome } from "./types.ts";

/**
 * Without a seal by the target, a success is unusable, and so is a claim that a non-idempotent request did not run. A
 * claim without a request id may be about another request, so it counts for idempotent requests only.
 */
export function toOutcome(
    result: Exclude<ExchangeResult, { kind: "unreachable"; }>,
    isIdempotent: boolean,
): Outcome {
    if (result.kind === "lost") return { kind: "unknown", reason: result.reason };
    const { head, body } = result;
    if ((head.status === 421 || head.notExecuted) && !isIdempotent && head.requestId === undefined) {
        return { kind: "unknown", reason: "bad-answer" };
    }
    if (head.status === 421) return { kind: "not-run", reason: "wrong-instance" };
    if (head.notExecuted) return { kind: "not-run", reason: "target-shed" };
    if (head.status < 300 && head.seal === undefined) return { kind: "unknown", reason: "bad-answer" };
    const claimsNotRun = head.status === 429 || head.status === 503 || head.status === 408;
    if (claimsNotRun && !isIdempotent && head.seal === undefined) {
        return { kind: "unknown", reason: "bad-answer" };
    }
    return { kind: "answer", status: head.status, headers: head.headers, body };
}
