/**
 * Incremental reader of HTTP/1.1 messages on the request path. It is strict where leniency allows smuggling:
 * bare line feeds, folded headers, conflicting lengths and unknown transfer codings are errors. Bodies are kept
 * whole, so that an answer is passed on only when it is complete and a request can be sent again.
 */

export type BodyFraming =
    | { readonly kind: "length"; readonly bytes: number; }
    | { readonly kind: "chunked"; }
    | { readonly kind: "until-close"; };

export interface MessageHead {
    readonly framing: BodyFraming;
}

/** A message that cannot be read; `status` is the answer for a request. */
export class HttpSyntaxError extends Error {
    constructor(readonly status: number, message: string) {
        super(message);
        this.name = "HttpSyntaxError";
    }
}

export interface HttpMessage<H> {
    readonly head: H;
    readonly body: Buffer;
}

export interface ReaderLimits {
    readonly maxHeadBytes: number;
    readonly maxBodyBytes: number;
}

const EMPTY_BUFFER = Buffer.alloc(0);
const HEAD_END = "\r\n\r\n";
const MAX_CHUNK_LINE_BYTES = 256;
/** Empty lines before a message that are passed over; some peers send one. */
const MAX_EMPTY_LINES = 8;
/** Pieces of a body up to this size are copied together, so that they do not hold the larger buffers they lie in. */
const MAX_COALESCED_PIECE_BYTES = 1024;
/** A body that arrives in few pieces is not copied. */
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
    /** Takes small pieces of the body; it lies in `parts` up to what is filled. */
    private coalescingBuffer: Buffer | undefined;
    private coalescedBytes = 0;
    /** Set for the answer to a request whose answer has no body whatever its head says. */
    isBodyless = false;

    /** `parseHead` receives the lines of a head without the empty line; it throws `HttpSyntaxError`. */
    constructor(private readonly parseHead: (text: string) => H, private readonly limits: ReaderLimits) {}

    /** Whether bytes of a message have arrived that is not complete yet. */
    get isMidMessage(): boolean {
        return this.stage !== "head" || this.buffer.length > 0;
    }

    /** The head whose body is still being read. */
    get pendingHead(): H | undefined {
        return this.head;
    }

    get bufferedBytes(): number {
        return this.buffer.length + this.bodyBytes;
    }

    /** Buffers that hold the body so far. */
    get bodyPieceCount(): number {
        return this.bodyPieces.length;
    }

    feed(chunk: Buffer): void {
        this.buffer = this.buffer.length === 0 ? chunk : Buffer.concat([this.buffer, chunk]);
    }

    /** The next complete message, or `undefined` until more bytes arrive. Throws `HttpSyntaxError`. */
    next(): HttpMessage<H> | undefined {
        for (;;) {
            if (!this.advance()) return undefined;
            if (this.stage === "head") return this.completeMessage();
        }
    }

    /** The message that ends with its connection, if one is being read. */
    end(): HttpMessage<H> | undefined {
        return this.stage === "until-close" ? this.completeMessage() : undefined;
    }

    /** Returns whether progress was made; the stage is "head" again when a message is complete. */
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

    /** An empty line before a message is ignored, as RFC 9112 asks of servers. */
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
                throw new HttpSyntaxError(400, "chunk too long");
            }
            return false;
        }
        if (this.buffer[0] !== 13 || this.buffer[1] !== 10) throw new HttpSyntaxError(400, "chunk too long");
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
        if (line.includes("\n") || line.includes("\r")) throw new HttpSyntaxError(400, "bare line end");
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

    /** Cuts the block, which is the last part, to what is filled. */
    private trimCoalescingBuffer(): void {
        if (this.coalescingBuffer === undefined) return;
        this.bodyPieces[this.bodyPieces.length - 1] = this.coalescingBuffer.subarray(0, this.coalescedBytes);
        this.coalescingBuffer = undefined;
        this.coalescedBytes = 0;
    }

    private completeMessage(): HttpMessage<H> {
        this.trimCoalescingBuffer();
        const { bodyPieces: pieces } = this;
        const body = pieces.length === 0
            ? EMPTY_BUFFER
            : pieces.length === 1
            ? pieces[0]!
            : Buffer.concat(pieces);
        const message = { head: this.head!, body };
        this.head = undefined;
        this.bodyPieces = [];
        this.bodyBytes = 0;
        this.emptyLines = 0;
        this.trailerBytes = 0;
        this.stage = "head";
        return message;
    }
}
