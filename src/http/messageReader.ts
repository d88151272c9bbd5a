/**
 * Incremental parser of HTTP/1.1 messages on the request path. It finds the end of each head, which `parseHead` parses,
 * and decodes the body. Malformed chunks, and a bare CR or LF in a chunk-size or trailer line, are errors, because
 * accepting them would allow request smuggling; messageHead.ts is equally strict with heads. Bodies are buffered
 * completely, so that only complete responses are forwarded and a request can be retried.
 */

import { createBody } from "./body.ts";
import type { Body } from "./body.ts";

/** How the end of a message body is determined; "until-close" is the end of the connection. */
export type BodyFraming =
    | { readonly kind: "length"; readonly bytes: number; }
    | { readonly kind: "chunked"; }
    | { readonly kind: "until-close"; };

export interface MessageHead {
    readonly framing: BodyFraming;
}

/** Thrown for a malformed or oversized message. `status` is the response status to send if the message is a request. */
export class HttpSyntaxError extends Error {
    constructor(readonly status: number, message: string) {
        super(message);
        this.name = "HttpSyntaxError";
    }
}

export interface HttpMessage<H> {
    readonly head: H;
    readonly body: Body;
}

export interface ReaderLimits {
    readonly maxHeadBytes: number;
    readonly maxBodyBytes: number;
}

const EMPTY_BUFFER = Buffer.alloc(0);
const HEAD_END = "\r\n\r\n";
/** Maximum number of buffered bytes of an incomplete chunk-size or trailer line. */
const MAX_CHUNK_LINE_BYTES = 256;
/** Maximum number of empty lines to skip before a message; some HTTP clients send one before a request. */
const MAX_EMPTY_LINES = 8;
/**
 * Body pieces up to this size are copied into a shared buffer. A piece is a view of a receive buffer: without the copy,
 * a small piece would keep its whole receive buffer in memory.
 */
const MAX_COALESCED_PIECE_BYTES = 1024;
/** Coalescing starts after this number of pieces; few pieces are copied only once, if at all. */
const COALESCE_AFTER_PIECES = 16;
const COALESCING_BUFFER_BYTES = 16 * 1024;
const CHUNK_SIZE = /^[0-9a-fA-F]{1,8}$/;

type Stage = "head" | "length" | "chunk-size" | "chunk-data" | "trailer" | "until-close";

export class MessageReader<H extends MessageHead> {
    private buffer: Buffer = EMPTY_BUFFER;
    private stage: Stage = "head";
    private head: H | undefined;
    private bodyPieces: Buffer[] = [];
    private bodyBytes = 0;
    private remainingBytes = 0;
    private emptyLines = 0;
    private trailerBytes = 0;
    /** Buffer into which small body pieces are copied; if set, the last entry of `bodyPieces`. */
    private coalescingBuffer: Buffer | undefined;
    /** Number of bytes in use in `coalescingBuffer`. */
    private coalescedBytes = 0;
    /** Set this for the response to a HEAD request, which has no body regardless of its header fields. */
    isBodyless = false;

    /** `parseHead` receives a head without its final empty line; it may throw `HttpSyntaxError`. */
    constructor(private readonly parseHead: (text: string) => H, private readonly limits: ReaderLimits) {}

    /** Whether part of a message has arrived. */
    get isMidMessage(): boolean {
        return this.stage !== "head" || this.buffer.length > 0;
    }

    /** Head of the message whose body is being read; `undefined` at any other time. */
    get pendingHead(): H | undefined {
        return this.head;
    }

    /** Number of bytes in memory: those not parsed yet and those of the current body. */
    get bufferedBytes(): number {
        return this.buffer.length + this.bodyBytes;
    }

    /** Number of buffers that hold the body so far. */
    get bodyPieceCount(): number {
        return this.bodyPieces.length;
    }

    /** Adds bytes received from the connection. */
    feed(bytes: Buffer): void {
        this.buffer = this.buffer.length === 0 ? bytes : Buffer.concat([this.buffer, bytes]);
    }

    /** Returns the next complete message, or `undefined` if more bytes are needed. Throws `HttpSyntaxError`. */
    next(): HttpMessage<H> | undefined {
        for (;;) {
            if (!this.advance()) return undefined;
            if (this.stage === "head") return this.completeMessage();
        }
    }

    /** Call when the connection ends. Returns the message whose body extends to the end of the connection, if any. */
    end(): HttpMessage<H> | undefined {
        return this.stage === "until-close" ? this.completeMessage() : undefined;
    }

    /** Releases all bytes. No further message can be read. */
    discard(): void {
        this.buffer = EMPTY_BUFFER;
        this.bodyPieces = [];
        this.bodyBytes = 0;
        this.coalescingBuffer = undefined;
    }

    /** Parses the next part of the message; returns false if more bytes are needed. The last part sets stage "head". */
    private advance(): boolean {
        switch (this.stage) {
            case "head":
                return this.readHead();
            case "length":
            case "chunk-data":
                return this.readBodyData();
            case "chunk-size":
                return this.readChunkSize();
            case "trailer":
                return this.readTrailer();
            case "until-close":
                this.consumeBodyBytes(this.buffer.length);
                return false;
        }
    }

    private readHead(): boolean {
        this.skipEmptyLines();
        const end = this.buffer.indexOf(HEAD_END);
        if (end < 0 ? this.buffer.length > this.limits.maxHeadBytes : end > this.limits.maxHeadBytes) {
            throw new HttpSyntaxError(431, "head too large");
        }
        if (end < 0) return false;
        const head = this.parseHead(this.buffer.toString("latin1", 0, end));
        this.buffer = this.buffer.subarray(end + HEAD_END.length);
        this.head = head;
        this.startBody(head.framing);
        return true;
    }

    /** RFC 9112 asks servers to ignore at least one empty line before a request. Responses are treated alike. */
    private skipEmptyLines(): void {
        while (this.buffer.length >= 2 && this.buffer[0] === 13 && this.buffer[1] === 10) {
            if (++this.emptyLines > MAX_EMPTY_LINES) throw new HttpSyntaxError(400, "too many empty lines");
            this.buffer = this.buffer.subarray(2);
        }
    }

    private startBody(framing: BodyFraming): void {
        if (this.isBodyless) return;
        switch (framing.kind) {
            case "length":
                if (framing.bytes > this.limits.maxBodyBytes) {
                    throw new HttpSyntaxError(413, "body too large");
                }
                this.remainingBytes = framing.bytes;
                this.stage = framing.bytes === 0 ? "head" : "length";
                return;
            case "chunked":
                this.stage = "chunk-size";
                return;
            case "until-close":
                this.stage = "until-close";
                return;
        }
    }

    private readBodyData(): boolean {
        if (this.buffer.length === 0) return false;
        this.remainingBytes -= this.consumeBodyBytes(Math.min(this.remainingBytes, this.buffer.length));
        if (this.remainingBytes > 0) return false;
        if (this.stage === "length") {
            this.stage = "head";
            return true;
        }
        if (this.buffer.length < 2) {
            if (this.buffer.length === 1 && this.buffer[0] !== 13) {
                throw new HttpSyntaxError(400, "chunk data not followed by CRLF");
            }
            return false;
        }
        if (this.buffer[0] !== 13 || this.buffer[1] !== 10) {
            throw new HttpSyntaxError(400, "chunk data not followed by CRLF");
        }
        this.buffer = this.buffer.subarray(2);
        this.stage = "chunk-size";
        return true;
    }

    private readChunkSize(): boolean {
        const line = this.readLine();
        if (line === undefined) return false;
        const size = line.split(";", 1)[0]!.trim();
        if (!CHUNK_SIZE.test(size)) throw new HttpSyntaxError(400, "malformed chunk size");
        this.remainingBytes = Number.parseInt(size, 16);
        if (this.bodyBytes + this.remainingBytes > this.limits.maxBodyBytes) {
            throw new HttpSyntaxError(413, "body too large");
        }
        this.stage = this.remainingBytes === 0 ? "trailer" : "chunk-data";
        return true;
    }

    /** Skips one line of the trailer section; an empty line ends the message. */
    private readTrailer(): boolean {
        const line = this.readLine();
        if (line === undefined) return false;
        if (line === "") this.stage = "head";
        this.trailerBytes += line.length;
        if (this.trailerBytes > this.limits.maxHeadBytes) {
            throw new HttpSyntaxError(431, "trailers too large");
        }
        return true;
    }

    private readLine(): string | undefined {
        const end = this.buffer.indexOf("\r\n");
        if (end < 0) {
            if (this.buffer.length > MAX_CHUNK_LINE_BYTES) throw new HttpSyntaxError(400, "line too long");
            return undefined;
        }
        const line = this.buffer.toString("latin1", 0, end);
        if (line.includes("\n") || line.includes("\r")) throw new HttpSyntaxError(400, "bare CR or LF");
        this.buffer = this.buffer.subarray(end + 2);
        return line;
    }

    private consumeBodyBytes(bytes: number): number {
        if (bytes === 0) return 0;
        this.bodyBytes += bytes;
        if (this.bodyBytes > this.limits.maxBodyBytes) throw new HttpSyntaxError(413, "body too large");
        this.appendBodyPiece(this.buffer.subarray(0, bytes));
        this.buffer = this.buffer.length === bytes ? EMPTY_BUFFER : this.buffer.subarray(bytes);
        return bytes;
    }

    private appendBodyPiece(piece: Buffer): void {
        if (piece.length > MAX_COALESCED_PIECE_BYTES || this.bodyPieces.length < COALESCE_AFTER_PIECES) {
            this.trimCoalescingBuffer();
            this.bodyPieces.push(piece);
            return;
        }
        if (
            this.coalescingBuffer !== undefined
            && this.coalescedBytes + piece.length > COALESCING_BUFFER_BYTES
        ) this.trimCoalescingBuffer();
        if (this.coalescingBuffer === undefined) {
            this.coalescingBuffer = Buffer.allocUnsafeSlow(COALESCING_BUFFER_BYTES);
            this.bodyPieces.push(this.coalescingBuffer);
        }
        this.coalescedBytes += piece.copy(this.coalescingBuffer, this.coalescedBytes);
    }

    /** Ends the use of the coalescing buffer: replaces it in `bodyPieces` by a view of the bytes in use. */
    private trimCoalescingBuffer(): void {
        if (this.coalescingBuffer === undefined) return;
        this.bodyPieces[this.bodyPieces.length - 1] = this.coalescingBuffer.subarray(0, this.coalescedBytes);
        this.coalescingBuffer = undefined;
        this.coalescedBytes = 0;
    }

    private completeMessage(): HttpMessage<H> {
        this.trimCoalescingBuffer();
        const message = { head: this.head!, body: createBody(this.bodyPieces, this.bodyBytes) };
        this.head = undefined;
        this.bodyPieces = [];
        this.bodyBytes = 0;
        this.emptyLines = 0;
        this.trailerBytes = 0;
        this.stage = "head";
        return message;
    }
}
