/** Headers of calls and runs: W3C trace context and baggage, hop-by-hop headers, and the nodes' `fp-` headers. */
import { randomUUID } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { safeParseCallContext, safeParseJson, safeParseLoadReport } from "./parse.ts";
import type {
    CallContext,
    LoadReport,
    NotRun,
    Outcome,
    RefusalReason,
    Unknown,
    UnknownReason,
} from "./types.ts";
import { notRun, refusalReasons, unknown, unknownReasons } from "./types.ts";

export type Headers = Record<string, string | string[]>;

/** Headers that apply to one connection only: the hop-by-hop headers of HTTP, `host` and `expect`. */
const HOP_BY_HOP_HEADERS = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "expect",
]);

/** Leaves out hop-by-hop headers, the headers that `connection` lists, and `fp-` headers. */
export function forwardedHeaders(headers: IncomingHttpHeaders): Headers {
    const forwarded: Headers = {};
    const connectionOptions = connectionOptionsOf(headers);
    for (const name in headers) {
        const value = headers[name];
        if (value === undefined || HOP_BY_HOP_HEADERS.has(name) || name.startsWith("fp-")) continue;
        if (connectionOptions?.has(name) === true) continue;
        forwarded[name] = value;
    }
    return forwarded;
}

function connectionOptionsOf(headers: IncomingHttpHeaders): ReadonlySet<string> | undefined {
    const { connection } = headers;
    if (connection === undefined || connection === "keep-alive" || connection === "close") return undefined;
    return new Set(String(connection).split(",").map(name => name.trim().toLowerCase()));
}

const TRACEPARENT_PATTERN = /^00-([0-9a-f]{32})-[0-9a-f]{16}-[0-9a-f]{2}$/;

/** Returns the trace id of the `traceparent` header, or undefined when the header is missing or malformed. */
export function traceIdOf(headers: IncomingHttpHeaders): string | undefined {
    const value = headers["traceparent"];
    const traceId = typeof value === "string" ? TRACEPARENT_PATTERN.exec(value)?.[1] : undefined;
    return traceId === "0".repeat(32) ? undefined : traceId;
}

/** Uses `randomUUID`, which caches random bytes; `randomBytes` would call the system's generator each time. */
export function createTraceId(): string {
    return randomUUID().replaceAll("-", "");
}

export function createSpanId(): string {
    const id = createTraceId();
    // Leaves out the version and variant digits of the UUID, which are not random.
    return id.slice(0, 8) + id.slice(24);
}

export function traceparent(traceId: string, spanId: string): string {
    return `00-${traceId}-${spanId}-01`;
}

/** Returns the decoded value of a member of the W3C `baggage` header, or undefined when there is none. */
export function baggageMember(headers: IncomingHttpHeaders, name: string): string | undefined {
    const value = headers["baggage"];
    if (typeof value !== "string") return undefined;
    for (const member of value.split(",")) {
        const [key, rest] = member.split(";", 1)[0]!.split("=", 2);
        if (key?.trim() === name && rest !== undefined) return percentDecode(rest.trim());
    }
    return undefined;
}

function percentDecode(text: string): string | undefined {
    try {
        return decodeURIComponent(text);
    }
    catch {
        return undefined;
    }
}

/** Returns the `baggage` header with `fp.kind` set to the kind and all other members unchanged. */
export function baggageWithKind(headers: IncomingHttpHeaders, kind: string): string {
    const value = headers["baggage"];
    const others = typeof value === "string"
        ? value.split(",").filter(member => member.trim() !== "" && !member.trim().startsWith("fp.kind="))
        : [];
    return [...others, `fp.kind=${encodeURIComponent(kind)}`].join(",");
}

/** Returns the call context of a request from another node, or undefined when it is missing or invalid. */
export function callContextOf(headers: IncomingHttpHeaders): CallContext | undefined {
    const value = headers["fp-call"];
    if (typeof value !== "string") return undefined;
    const json = safeParseJson(value);
    if (!json.success) return undefined;
    const parsed = safeParseCallContext(json.value);
    return parsed.success ? parsed.value : undefined;
}

export function runResponseHeaders(outcome: Outcome, retriesLeft: number, load: LoadReport): Headers {
    const headers: Headers = {
        "fp-outcome": outcome.type,
        "fp-retries-left": String(retriesLeft),
        "fp-load": JSON.stringify(load),
    };
    if (outcome.type !== "ran") headers["fp-reason"] = outcome.reason;
    if (outcome.type === "not-run") headers["fp-retry-after-ms"] = String(outcome.retryAfterMs);
    return headers;
}

/**
 * Returns the outcome that a node reported for an attempt. A missing or invalid report is an unknown outcome.
 */
export function outcomeOf(status: number, headers: IncomingHttpHeaders): Outcome {
    const reason = headers["fp-reason"];
    switch (headers["fp-outcome"]) {
        case "ran":
            return { type: "ran", status };
        case "not-run":
            return parseNotRun(reason, Number(headers["fp-retry-after-ms"] ?? 0));
        default:
            return parseUnknown(reason);
    }
}

function parseNotRun(reason: unknown, retryAfterMs: number): NotRun | Unknown {
    if (!refusalReasons.includes(reason as RefusalReason)) return unknown("connection-lost");
    return notRun(reason as RefusalReason, Number.isFinite(retryAfterMs) ? retryAfterMs : 0);
}

function parseUnknown(reason: unknown): Unknown {
    return unknown(
        unknownReasons.includes(reason as UnknownReason) ? reason as UnknownReason : "connection-lost",
    );
}

export function retriesLeftOf(headers: IncomingHttpHeaders): number {
    const value = Number(headers["fp-retries-left"] ?? 0);
    return Number.isInteger(value) && value >= 0 ? value : 0;
}

export function loadOf(headers: IncomingHttpHeaders): LoadReport | undefined {
    const value = headers["fp-load"];
    if (typeof value !== "string") return undefined;
    const json = safeParseJson(value);
    const parsed = json.success ? safeParseLoadReport(json.value) : json;
    return parsed.success ? parsed.value : undefined;
}
