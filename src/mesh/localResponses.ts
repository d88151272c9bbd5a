/** Responses that a node creates itself instead of forwarding them from a target. */
import type { HttpResponse } from "../http/httpServer.ts";
import type { RefusalContext } from "../policy/retryAfter.ts";
import { retryAfterMs } from "../policy/retryAfter.ts";
import type { RefusalReason } from "./types.ts";

const EMPTY_BODY = Buffer.alloc(0);

export function emptyResponse(status: number): HttpResponse {
    return { status, headers: "", body: EMPTY_BODY };
}

/** Response to a request that was not executed and will not be. The caller may retry it after `Retry-After`. */
export function refusalResponse(
    reason: RefusalReason,
    context: RefusalContext,
    rand: () => number,
): HttpResponse {
    const seconds = (retryAfterMs(reason, context, rand) / 1000).toFixed(3);
    return {
        status: reason === "quota" ? 429 : 503,
        headers: `Retry-After: ${seconds}\r\nX-Refusal-Reason: ${reason}\r\n`,
        body: EMPTY_BODY,
    };
}
