/**
 * Wire format of connections between nodes. Many requests share one connection, each on a stream with its own number. A
 * frame consists of a header and fields in a fixed order. The header has a length field (4 bytes, the number of bytes
 * after it), the type (1 byte) and the stream number (4 bytes); frames that belong to no request carry 0 or another
 * value in place of the stream number. Strings are latin1 with a length prefix (4 bytes); the strings of a request
 * are joined into one by line feeds. Control messages are JSON-RPC 2.0 in UTF-8.
 */
import { MAX_JOINED_BODY_BYTES, piecesOf } from "../http/body.ts";
import type { Body } from "../http/body.ts";
import type { FailureReason, ForwardedRequest, LoadReport, Outcome, RefusalReason } from "./types.ts";

export type Frame =
    | { readonly type: "request"; readonly stream: number; readonly request: ForwardedRequest; }
    | {
        readonly type: "response";
        readonly stream: number;
        readonly outcome: Outcome;
        readonly load: LoadReport;
    }
    /** A request or response that was not kept, since there is no memory for it. This is never sent. */
    | { readonly type: "dropped"; readonly stream: number; readonly dropped: "request" | "response"; }
    | { readonly type: "cancel"; readonly stream: number; }
    /** The admission cutoff of the sender's target has changed. Belongs to no request: `stream` is the new cutoff. */
    | { readonly type: "cutoff"; readonly stream: number; }
    /** The target has completed no response for a while; the request is still in progress. */
    | { readonly type: "silent"; readonly stream: number; }
    /** Belongs to no request: `stream` is 0. */
    | { readonly type: "ping"; readonly stream: number; }
    /** Response to a ping, and sent when the configuration has changed. Belongs to no request. */
    | { readonly type: "pong"; readonly configVersion: number; }
    | { readonly type: "rpc"; readonly message: string; };

export class FrameError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "FrameError";
    }
}

export const REQUEST = 1;
export const RESPONSE = 2;
export const CANCEL = 3;
export const PING = 4;
export const PONG = 5;
export const RPC = 6;
export const CUTOFF = 7;
export const SILENT = 8;

/** Types of the frames that consist of the header only. */
const SIGNALS = { cancel: CANCEL, ping: PING, cutoff: CUTOFF, silent: SILENT } as const;

export const OUTCOME_RESPONSE = 0;
export const OUTCOME_NOT_RUN = 1;
export const OUTCOME_UNKNOWN = 2;

export const IDEMPOTENT_FLAG = 1;
export const NESTED_FLAG = 2;

export const LENGTH_BYTES = 4;
export const HEADER_BYTES = 9;
/**
 * Maximum value of the length field; the receiver of a longer frame closes the connection. Enough for a body of the
 * default maximum size, 64 MB, and its head, but a configuration may allow larger bodies.
 */
export const MAX_FRAME_BYTES = 80 * 1024 * 1024;

/** A reason's index is its code on the wire. */
export const REFUSAL_REASONS: readonly RefusalReason[] = [
    "no-config",
    "no-target",
    "draining",
    "target-down",
    "wrong-service",
    "overload",
    "failing-below",
    "queue-timeout",
    "target-shed",
    "link-down",
    "stopping",
    "crashes-targets",
    "memory",
    "deadline",
    "wrong-instance",
    "unknown-caller",
    "quota",
];
/** A reason's index is its code on the wire. */
export const FAILURE_REASONS: readonly FailureReason[] = [
    "link-lost",
    "connection-lost",
    "bad-answer",
    "timeout",
    "caller-gone",
    "stopping",
];

/** Bytes of a frame: one buffer or, with a large body, several that are written one after the other. */
export type EncodedFrame = Buffer | readonly Buffer[];

/** The strings are joined and written at once, since each write into a buffer costs as much as writing 100 bytes. */
export function encodeRequest(stream: number, req: ForwardedRequest): EncodedFrame {
    const text =
        `${req.requestId}\n${req.service}\n${req.route}\n${req.callerService}\n${req.method}\n${req.path}\n${req.headers}`;
    const { body } = req;
    const isJoined = Buffer.isBuffer(body) && body.length <= MAX_JOINED_BODY_BYTES;
    const buf = Buffer.allocUnsafe(HEADER_BYTES + 17 + text.length + (isJoined ? body.length : 0));
    let offset = writeHeader(buf, REQUEST, stream);
    buf[offset] = (req.isIdempotent ? IDEMPOTENT_FLAG : 0) | (req.isNested ? NESTED_FLAG : 0);
    offset = buf.writeUInt32BE(req.level, offset + 1);
    offset = buf.writeUInt32BE(clampToUint32(req.leftMs), offset);
    offset = buf.writeUInt32BE(clampToUint32(req.maxQueueMs), offset);
    offset = writeText(buf, offset, text);
    if (!isJoined) return finishSeparate(buf, offset, body);
    if (body.length > 0) body.copy(buf, offset);
    return finishFrame(buf, offset + body.length);
}

export function encodeResponse(stream: number, outcome: Outcome, load: LoadReport): EncodedFrame {
    const joinedBody = outcome.kind === "answer" && Buffer.isBuffer(outcome.body)
            && outcome.body.length <= MAX_JOINED_BODY_BYTES
        ? outcome.body
        : undefined;
    const outcomeBytes = outcome.kind === "answer"
        ? 6 + outcome.headers.length + (joinedBody?.length ?? 0)
        : 1;
    const buf = Buffer.allocUnsafe(HEADER_BYTES + 23 + outcomeBytes);
    let offset = writeHeader(buf, RESPONSE, stream);
    offset = buf.writeUInt16BE(load.cutoff, offset);
    offset = buf.writeUInt16BE(Math.min(load.running, 0xffff), offset);
    offset = buf.writeUInt16BE(Math.min(load.queued, 0xffff), offset);
    offset = buf.writeUInt16BE(Math.min(load.limit, 0xffff), offset);
    offset = buf.writeUInt32BE(clampToUint32(load.serviceMs * 100), offset);
    offset = buf.writeDoubleBE(load.configVersion, offset);
    switch (outcome.kind) {
        case "answer":
            buf[offset] = OUTCOME_RESPONSE;
            offset = buf.writeUInt16BE(outcome.status, offset + 1);
            offset = writeText(buf, offset, outcome.headers);
            if (joinedBody === undefined) return finishSeparate(buf, offset, outcome.body);
            joinedBody.copy(buf, offset);
            return finishFrame(buf, offset + joinedBody.length);
        case "not-run":
            buf[offset] = OUTCOME_NOT_RUN;
            buf[offset + 1] = REFUSAL_REASONS.indexOf(outcome.reason);
            return finishFrame(buf, offset + 2);
        case "unknown":
            buf[offset] = OUTCOME_UNKNOWN;
            buf[offset + 1] = FAILURE_REASONS.indexOf(outcome.reason);
            return finishFrame(buf, offset + 2);
    }
}

/** Encodes a frame that consists of the header only. In `cutoff` frames, `stream` is their value. */
export function encodeSignal(type: keyof typeof SIGNALS, stream: number): Buffer {
    const buf = Buffer.allocUnsafe(HEADER_BYTES);
    return finishFrame(buf, writeHeader(buf, SIGNALS[type], stream));
}

export function encodePong(configVersion: number): Buffer {
    const buf = Buffer.allocUnsafe(HEADER_BYTES + 8);
    return finishFrame(buf, buf.writeDoubleBE(configVersion, writeHeader(buf, PONG, 0)));
}

export function encodeRpc(message: string): Buffer {
    const text = Buffer.from(message, "utf8");
    const buf = Buffer.allocUnsafe(HEADER_BYTES + text.length);
    text.copy(buf, writeHeader(buf, RPC, 0));
    return finishFrame(buf, buf.length);
}

function writeHeader(buf: Buffer, type: number, stream: number): number {
    buf[4] = type;
    return buf.writeUInt32BE(stream, 5);
}

/** Ends a frame whose body is not copied into it. */
function finishSeparate(buf: Buffer, end: number, body: Body): readonly Buffer[] {
    buf.writeUInt32BE(end - LENGTH_BYTES + body.length, 0);
    return [buf.subarray(0, end), ...piecesOf(body)];
}

function finishFrame(buf: Buffer, end: number): Buffer {
    buf.writeUInt32BE(end - LENGTH_BYTES, 0);
    return end === buf.length ? buf : buf.subarray(0, end);
}

function writeText(buf: Buffer, offset: number, text: string): number {
    buf.writeUInt32BE(text.length, offset);
    return offset + 4 + buf.write(text, offset + 4, "latin1");
}

function clampToUint32(value: number): number {
    return Math.max(0, Math.min(0xffffffff, Math.round(value)));
}
