/**
 * Wire format of connections between nodes. Many requests share one connection, each on a stream with its own number. A
 * frame consists of a header and fields in a fixed order. The header has a length field (4 bytes, the number of bytes
 * after it), the type (1 byte) and the stream number (4 bytes); frames that belong to no request carry 0 or another
 * value in place of the stream number. Strings are latin1 with a length prefix (4 bytes); the strings of a request
 * are joined into one by line feeds. Control messages are JSON-RPC 2.0 in UTF-8.
 */
import type { FailureReason, ForwardedRequest, LoadReport, Outcome, RefusalReason } from "./types.ts";

export type Frame =
    | { readonly type: "request"; readonly stream: number; readonly request: ForwardedRequest; }
    | {
        readonly type: "response";
        readonly stream: number;
        readonly outcome: Outcome;
        readonly load: LoadReport;
    }
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

const REQUEST = 1;
const RESPONSE = 2;
const CANCEL = 3;
const PING = 4;
const PONG = 5;
const RPC = 6;
const CUTOFF = 7;
const SILENT = 8;

/** Types of the frames that consist of the header only. */
const SIGNALS = { cancel: CANCEL, ping: PING, cutoff: CUTOFF, silent: SILENT } as const;

const OUTCOME_RESPONSE = 0;
const OUTCOME_NOT_RUN = 1;
const OUTCOME_UNKNOWN = 2;

const IDEMPOTENT_FLAG = 1;
const NESTED_FLAG = 2;

const LENGTH_BYTES = 4;
const HEADER_BYTES = 9;
/**
 * Maximum value of the length field; the receiver of a longer frame closes the connection. Enough for a body of the
 * default maximum size, 64 MB, and its head, but a configuration may allow larger bodies.
 */
const MAX_FRAME_BYTES = 80 * 1024 * 1024;

/** A reason's index is its code on the wire. */
const REFUSAL_REASONS: readonly RefusalReason[] = [
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
const FAILURE_REASONS: readonly FailureReason[] = [
    "link-lost",
    "connection-lost",
    "bad-answer",
    "timeout",
    "caller-gone",
    "stopping",
];

/** The strings are joined and written at once, since each write into a buffer costs as much as writing 100 bytes. */
export function encodeRequest(stream: number, req: ForwardedRequest): Buffer {
    const text =
        `${req.requestId}\n${req.service}\n${req.route}\n${req.callerService}\n${req.method}\n${req.path}\n${req.headers}`;
    const buf = Buffer.allocUnsafe(HEADER_BYTES + 17 + text.length + req.body.length);
    let offset = writeHeader(buf, REQUEST, stream);
    buf[offset] = (req.isIdempotent ? IDEMPOTENT_FLAG : 0) | (req.isNested ? NESTED_FLAG : 0);
    offset = buf.writeUInt32BE(req.level, offset + 1);
    offset = buf.writeUInt32BE(clampToUint32(req.leftMs), offset);
    offset = buf.writeUInt32BE(clampToUint32(req.maxQueueMs), offset);
    offset = writeText(buf, offset, text);
    if (req.body.length > 0) req.body.copy(buf, offset);
    return finishFrame(buf, offset + req.body.length);
}

export function encodeResponse(stream: number, outcome: Outcome, load: LoadReport): Buffer {
    const outcomeBytes = outcome.kind === "answer" ? 6 + outcome.headers.length + outcome.body.length : 1;
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
            outcome.body.copy(buf, offset);
            return finishFrame(buf, offset + outcome.body.length);
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

/** Decodes the byte stream of a connection into frames. */
export class FrameReader {
    private buffer: Buffer | undefined;
    private chunks: Buffer[] = [];
    private chunkBytes = 0;
    private neededBytes = LENGTH_BYTES;

    feed(chunk: Buffer): void {
        this.chunks.push(chunk);
        this.chunkBytes += chunk.length;
    }

    /** Returns the next complete frame, or `undefined` if there is none. Throws `FrameError` for malformed bytes. */
    next(): Frame | undefined {
        if (this.buffer === undefined || this.buffer.length < this.neededBytes) {
            const bufferedBytes = this.buffer?.length ?? 0;
            if (bufferedBytes + this.chunkBytes < this.neededBytes) return undefined;
            this.joinChunks();
        }
        const buf = this.buffer!;
        const length = buf.readUInt32BE(0);
        if (length < HEADER_BYTES - LENGTH_BYTES || length > MAX_FRAME_BYTES) {
            throw new FrameError("frame length is out of range");
        }
        this.neededBytes = LENGTH_BYTES + length;
        if (buf.length < this.neededBytes) return this.chunkBytes > 0 ? this.next() : undefined;
        const frame = decodeFrame(buf.subarray(0, this.neededBytes));
        this.buffer = buf.length === this.neededBytes ? undefined : buf.subarray(this.neededBytes);
        this.neededBytes = LENGTH_BYTES;
        return frame;
    }

    private joinChunks(): void {
        const parts = this.buffer === undefined ? this.chunks : [this.buffer, ...this.chunks];
        this.buffer = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
        this.chunks = [];
        this.chunkBytes = 0;
    }
}

function decodeFrame(buf: Buffer): Frame {
    const stream = buf.readUInt32BE(5);
    switch (buf[4]) {
        case REQUEST:
            return { type: "request", stream, request: decodeRequest(buf) };
        case RESPONSE:
            return decodeResponse(buf, stream);
        case CANCEL:
            return { type: "cancel", stream };
        case CUTOFF:
            return { type: "cutoff", stream };
        case SILENT:
            return { type: "silent", stream };
        case PING:
            return { type: "ping", stream };
        case PONG:
            return { type: "pong", configVersion: new FieldReader(buf, HEADER_BYTES).double() };
        case RPC:
            return { type: "rpc", message: buf.toString("utf8", HEADER_BYTES, buf.length) };
        default:
            throw new FrameError("unknown frame type");
    }
}

function decodeRequest(buf: Buffer): ForwardedRequest {
    const fields = new FieldReader(buf, HEADER_BYTES);
    const flags = fields.byte();
    const level = fields.uint32();
    const leftMs = fields.uint32();
    const maxQueueMs = fields.uint32();
    const lines = new LineReader(fields.text());
    return {
        isIdempotent: (flags & IDEMPOTENT_FLAG) !== 0,
        isNested: (flags & NESTED_FLAG) !== 0,
        level,
        leftMs,
        maxQueueMs,
        requestId: lines.line(),
        service: lines.line(),
        route: lines.line(),
        callerService: lines.line(),
        method: lines.line(),
        path: lines.line(),
        headers: lines.rest(),
        body: fields.rest(),
    };
}

class LineReader {
    private offset = 0;

    constructor(private readonly text: string) {}

    line(): string {
        const end = this.text.indexOf("\n", this.offset);
        if (end < 0) throw new FrameError("request is missing a string field");
        const line = this.text.slice(this.offset, end);
        this.offset = end + 1;
        return line;
    }

    rest(): string {
        return this.text.slice(this.offset);
    }
}

function decodeResponse(buf: Buffer, stream: number): Frame {
    const fields = new FieldReader(buf, HEADER_BYTES);
    const load = {
        cutoff: fields.uint16(),
        running: fields.uint16(),
        queued: fields.uint16(),
        limit: fields.uint16(),
        serviceMs: fields.uint32() / 100,
        configVersion: fields.double(),
    };
    return { type: "response", stream, load, outcome: decodeOutcome(fields) };
}

function decodeOutcome(fields: FieldReader): Outcome {
    switch (fields.byte()) {
        case OUTCOME_RESPONSE:
            return { kind: "answer", status: fields.uint16(), headers: fields.text(), body: fields.rest() };
        case OUTCOME_NOT_RUN: {
            const reason = REFUSAL_REASONS[fields.byte()];
            if (reason === undefined) throw new FrameError("unknown refusal reason");
            return { kind: "not-run", reason };
        }
        case OUTCOME_UNKNOWN: {
            const reason = FAILURE_REASONS[fields.byte()];
            if (reason === undefined) throw new FrameError("unknown failure reason");
            return { kind: "unknown", reason };
        }
        default:
            throw new FrameError("unknown outcome kind");
    }
}

class FieldReader {
    constructor(private readonly buf: Buffer, private offset: number) {}

    byte(): number {
        return this.buf.readUInt8(this.advance(1));
    }

    uint16(): number {
        return this.buf.readUInt16BE(this.advance(2));
    }

    uint32(): number {
        return this.buf.readUInt32BE(this.advance(4));
    }

    double(): number {
        return this.buf.readDoubleBE(this.advance(8));
    }

    text(): string {
        return this.latin1(this.uint32());
    }

    rest(): Buffer {
        return this.buf.subarray(this.offset);
    }

    private latin1(length: number): string {
        const start = this.advance(length);
        return this.buf.toString("latin1", start, start + length);
    }

    private advance(bytes: number): number {
        const start = this.offset;
        this.offset += bytes;
        if (this.offset > this.buf.length) throw new FrameError("frame ends before its last field");
        return start;
    }
}

function writeHeader(buf: Buffer, type: number, stream: number): number {
    buf[4] = type;
    return buf.writeUInt32BE(stream, 5);
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
