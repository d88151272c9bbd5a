/**
 * Decodes the frames of a connection between nodes, see frames.ts for their format. Large frames are not joined, and are
 * skipped if there is no memory for them.
 */
import { createBody, MAX_JOINED_BODY_BYTES } from "../http/body.ts";
import type { Body } from "../http/body.ts";
import type { MemoryBudget } from "../policy/memoryBudget.ts";
import {
    CANCEL,
    CUTOFF,
    FAILURE_REASONS,
    FrameError,
    HEADER_BYTES,
    IDEMPOTENT_FLAG,
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    NESTED_FLAG,
    OUTCOME_NOT_RUN,
    OUTCOME_RESPONSE,
    OUTCOME_UNKNOWN,
    PING,
    PONG,
    REFUSAL_REASONS,
    REQUEST,
    RESPONSE,
    RPC,
    SILENT,
} from "./frames.ts";
import type { Frame } from "./frames.ts";
import { LargeFrame } from "./largeFrame.ts";
import type { ForwardedRequest, Outcome } from "./types.ts";

const NO_BUFFERS: readonly Buffer[] = [];

/** Decodes the byte stream of a connection into frames. */
export class FrameReader {
    private buffer: Buffer | undefined;
    private chunks: Buffer[] = [];
    private chunkBytes = 0;
    private neededBytes = LENGTH_BYTES;
    private large: LargeFrame | undefined;
    /** Notice of a large frame that is skipped, to be returned next. */
    private dropped: Frame | undefined;

    /** Without `memory`, the bytes of large frames are not bounded. */
    constructor(private readonly memory?: MemoryBudget) {}

    feed(chunk: Buffer): void {
        const rest = this.large === undefined ? chunk : this.feedLarge(this.large, chunk);
        if (rest === undefined) return;
        this.chunks.push(rest);
        this.chunkBytes += rest.length;
    }

    /** Returns the next complete frame, or `undefined` if there is none. Throws `FrameError` for malformed bytes. */
    next(): Frame | undefined {
        if (this.large !== undefined) return this.nextLarge(this.large);
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
        if (length > MAX_JOINED_BODY_BYTES && buf.length < this.neededBytes) return this.startLarge();
        if (buf.length < this.neededBytes) return this.chunkBytes > 0 ? this.next() : undefined;
        const frame = decodeFrame(buf.subarray(0, this.neededBytes));
        this.buffer = buf.length === this.neededBytes ? undefined : buf.subarray(this.neededBytes);
        this.neededBytes = LENGTH_BYTES;
        return frame;
    }

    /** Releases the bytes of an incomplete frame. Call when the connection has closed. */
    close(): void {
        this.memory?.resize(this.large?.heldBytes ?? 0, 0);
        this.large = undefined;
        this.buffer = undefined;
        this.chunks = [];
    }

    /** Begins a large frame, once its header has arrived. */
    private startLarge(): Frame | undefined {
        if (this.buffer!.length < HEADER_BYTES) {
            if (this.buffer!.length + this.chunkBytes < HEADER_BYTES) {
                // Not the bytes of the whole frame: it is counted from its header on.
                this.neededBytes = HEADER_BYTES;
                return undefined;
            }
            this.joinChunks();
        }
        const { chunks } = this;
        const first = this.buffer!;
        const large = new LargeFrame(this.neededBytes);
        this.large = large;
        this.buffer = undefined;
        this.chunks = [];
        this.chunkBytes = 0;
        this.neededBytes = LENGTH_BYTES;
        for (const chunk of [first, ...chunks]) this.feed(chunk);
        return this.nextLarge(large);
    }

    private feedLarge(large: LargeFrame, chunk: Buffer): Buffer | undefined {
        const { heldBytes } = large;
        const rest = large.add(chunk);
        if (large.isBeingSkipped || this.memory === undefined) return rest;
        const header = large.join(HEADER_BYTES);
        const kind = header[4] === REQUEST ? "request" : "response";
        const isDroppable = header[4] === REQUEST || header[4] === RESPONSE;
        if (!isDroppable) this.memory.resize(heldBytes, large.heldBytes);
        else if (!this.memory.tryResize(heldBytes, large.heldBytes, kind)) {
            this.memory.resize(heldBytes, 0);
            this.dropped = { type: "dropped", stream: header.readUInt32BE(5), dropped: kind };
            large.skip();
        }
        return rest;
    }

    private nextLarge(large: LargeFrame): Frame | undefined {
        if (this.dropped !== undefined) {
            const { dropped } = this;
            this.dropped = undefined;
            return dropped;
        }
        if (!large.isComplete) return undefined;
        this.memory?.resize(large.heldBytes, 0);
        this.large = undefined;
        return large.isBeingSkipped ? this.next() : decodeLargeFrame(large);
    }

    private joinChunks(): void {
        const parts = this.buffer === undefined ? this.chunks : [this.buffer, ...this.chunks];
        this.buffer = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
        this.chunks = [];
        this.chunkBytes = 0;
    }
}

/** Offset of the length of the text before the body. */
const REQUEST_TEXT_OFFSET = HEADER_BYTES + 13;
const RESPONSE_TEXT_OFFSET = HEADER_BYTES + 23;

/** Decodes a frame of which all but the body has to be in one buffer. */
function decodeLargeFrame(large: LargeFrame): Frame {
    const type = large.join(HEADER_BYTES)[4];
    if (type !== REQUEST && type !== RESPONSE) return decodeFrame(large.join(Infinity));
    const offset = type === REQUEST ? REQUEST_TEXT_OFFSET : RESPONSE_TEXT_OFFSET;
    const textBytes = large.join(offset + 4).readUInt32BE(offset);
    const buf = large.join(offset + 4 + textBytes);
    return decodeFrame(buf, large.rest);
}

/** `rest`: buffers that belong to the body and follow `buf`. */
function decodeFrame(buf: Buffer, rest: readonly Buffer[] = NO_BUFFERS): Frame {
    const stream = buf.readUInt32BE(5);
    switch (buf[4]) {
        case REQUEST:
            return { type: "request", stream, request: decodeRequest(buf, rest) };
        case RESPONSE:
            return decodeResponse(buf, rest, stream);
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

function decodeRequest(buf: Buffer, rest: readonly Buffer[]): ForwardedRequest {
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
        body: fields.body(rest),
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

function decodeResponse(buf: Buffer, rest: readonly Buffer[], stream: number): Frame {
    const fields = new FieldReader(buf, HEADER_BYTES);
    const load = {
        cutoff: fields.uint16(),
        running: fields.uint16(),
        queued: fields.uint16(),
        limit: fields.uint16(),
        serviceMs: fields.uint32() / 100,
        configVersion: fields.double(),
    };
    return { type: "response", stream, load, outcome: decodeOutcome(fields, rest) };
}

function decodeOutcome(fields: FieldReader, rest: readonly Buffer[]): Outcome {
    switch (fields.byte()) {
        case OUTCOME_RESPONSE:
            return {
                kind: "answer",
                status: fields.uint16(),
                headers: fields.text(),
                body: fields.body(rest),
            };
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

    body(rest: readonly Buffer[]): Body {
        const first = this.buf.subarray(this.offset);
        if (rest.length === 0) return first;
        const pieces = first.length === 0 ? rest : [first, ...rest];
        return createBody(pieces, pieces.reduce((bytes, piece) => bytes + piece.length, 0));
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
