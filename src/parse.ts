/** Validates data from outside. `safeParseX` returns a `ParseResult`; `parseX` throws a `ParseError`. */
import * as v from "valibot";
import type { Issue } from "./errors.ts";
import { ParseError } from "./errors.ts";
import type { LogRecord } from "./logRecords.ts";
import type { PeerDatagram, PeerRequest, PeerResponse } from "./peerMessages.ts";
import {
    callContextSchema,
    loadReportSchema,
    logRecordSchema,
    peerDatagramSchema,
    peerRequestSchema,
    peerResponseSchema,
} from "./schemas.ts";
import type { CallContext, LoadReport } from "./types.ts";

export type ParseResult<T> =
    | { readonly success: true; readonly value: T; }
    | { readonly success: false; readonly issues: readonly Issue[]; };

/** Validates a value. `path` is prepended to the path of each issue. */
export function safeParse<TSchema extends v.GenericSchema>(
    schema: TSchema,
    value: unknown,
    path: readonly (string | number)[] = [],
): ParseResult<v.InferOutput<TSchema>> {
    const result = v.safeParse(schema, value);
    if (result.success) return { success: true, value: result.output };
    return { success: false, issues: result.issues.map(issue => toIssue(issue, path)) };
}

function toIssue(issue: v.BaseIssue<unknown>, path: readonly (string | number)[]): Issue {
    const keys = issue.path?.map(item => item.key as string | number) ?? [];
    return { code: issue.type, path: [...path, ...keys], message: issue.message };
}

export function valueOrThrow<T>(result: ParseResult<T>): T {
    if (!result.success) throw new ParseError(result.issues);
    return result.value;
}

export function safeParseLogRecord(value: unknown): ParseResult<LogRecord> {
    return safeParse(logRecordSchema, value);
}

export function parseLogRecord(value: unknown): LogRecord {
    return valueOrThrow(safeParseLogRecord(value));
}

export function safeParsePeerRequest(value: unknown): ParseResult<PeerRequest> {
    return safeParse(peerRequestSchema, value);
}

export function parsePeerRequest(value: unknown): PeerRequest {
    return valueOrThrow(safeParsePeerRequest(value));
}

export function safeParsePeerResponse(value: unknown): ParseResult<PeerResponse> {
    return safeParse(peerResponseSchema, value);
}

export function parsePeerResponse(value: unknown): PeerResponse {
    return valueOrThrow(safeParsePeerResponse(value));
}

export function safeParsePeerDatagram(value: unknown): ParseResult<PeerDatagram> {
    return safeParse(peerDatagramSchema, value);
}

export function safeParseCallContext(value: unknown): ParseResult<CallContext> {
    return safeParse(callContextSchema, value);
}

export function safeParseLoadReport(value: unknown): ParseResult<LoadReport> {
    return safeParse(loadReportSchema, value);
}

/** Parses JSON text. Returns an issue when the text is not valid, and does not throw. */
export function safeParseJson(text: string): ParseResult<unknown> {
    try {
        return { success: true, value: JSON.parse(text) };
    }
    catch {
        return { success: false, issues: [{ code: "json", path: [], message: "not valid JSON" }] };
    }
}
