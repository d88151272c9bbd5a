/** Writes responses to a client. A large body is not copied, but sent in slices, which show whether the client reads. */
import type net from "node:net";
import { MAX_JOINED_BODY_BYTES, piecesOf } from "./body.ts";
import type { HttpResponse } from "./httpServer.ts";

const REASON_PHRASES: Readonly<Record<number, string>> = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
};
/** Part of a long response that is written at once, so that it shows whether the client reads. */
const RESPONSE_SLICE_BYTES = 256 * 1024;

export class ResponseWriter {
    /** What follows after the bytes that the socket already has. */
    private unsent: Buffer[] = [];
    private unsentBytes = 0;
    private isEnding = false;

    constructor(private readonly socket: net.Socket) {}

    /** Number of bytes that the operating system has not taken. */
    get pendingBytes(): number {
        return this.unsentBytes + this.socket.writableLength;
    }

    /** Whether the client does not take what is sent. */
    get isBlocked(): boolean {
        return this.unsentBytes > 0 || this.socket.writableNeedDrain;
    }

    /** Number of bytes that wait for the client. Bytes that the socket sends without delay are not counted. */
    get blockedBytes(): number {
        return this.socket.writableNeedDrain ? this.pendingBytes : this.unsentBytes;
    }

    /** Sends a response behind those before it. */
    send(response: HttpResponse, options: EncodingOptions): void {
        const { body, status } = response;
        const head = encodeResponse(response, options);
        const isBodySeparate = options.hasBody && hasBodyWithStatus(status)
            && body.length > MAX_JOINED_BODY_BYTES;
        if (!isBodySeparate && this.unsent.length === 0) {
            this.socket.write(head);
            return;
        }
        this.push(head);
        if (isBodySeparate) {
            for (const piece of piecesOf(body)) {
                for (let offset = 0; offset < piece.length; offset += RESPONSE_SLICE_BYTES) {
                    this.push(piece.subarray(offset, offset + RESPONSE_SLICE_BYTES));
                }
            }
        }
        this.onDrain();
    }

    /** Sends what the client takes. Call when the socket has drained. */
    onDrain(): void {
        if (this.socket.destroyed || this.unsent.length === 0) return;
        let count = 0;
        while (count < this.unsent.length && !this.socket.writableNeedDrain) {
            const slice = this.unsent[count++]!;
            this.unsentBytes -= slice.length;
            this.socket.write(slice);
        }
        this.unsent.splice(0, count);
        if (this.unsent.length === 0 && this.isEnding) this.socket.end();
    }

    /** Ends the sending side once everything has been sent. */
    end(): void {
        this.isEnding = true;
        if (this.unsent.length === 0) this.socket.end();
    }

    /** Releases what has not been sent. Call when the socket is destroyed. */
    discard(): void {
        this.unsent = [];
        this.unsentBytes = 0;
    }

    private push(slice: Buffer): void {
        this.unsent.push(slice);
        this.unsentBytes += slice.length;
    }
}

function hasBodyWithStatus(status: number): boolean {
    return status !== 204 && status !== 304;
}

interface EncodingOptions {
    readonly closesConnection: boolean;
    readonly hasBody: boolean;
}

/** Encodes a response, a large one without its body. */
function encodeResponse(
    { status, headers, body }: HttpResponse,
    { closesConnection, hasBody }: EncodingOptions,
): Buffer {
    const lengthLine = hasBodyWithStatus(status) ? `Content-Length: ${body.length}\r\n` : "";
    const head = `HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? "Status"}\r\n${headers}${lengthLine}${
        closesConnection ? "Connection: close\r\n" : ""
    }\r\n`;
    const isJoined = hasBody && lengthLine !== "" && Buffer.isBuffer(body)
        && body.length <= MAX_JOINED_BODY_BYTES;
    const bodyBytes = isJoined ? body.length : 0;
    const buf = Buffer.allocUnsafe(head.length + bodyBytes);
    buf.write(head, 0, "latin1");
    if (isJoined) body.copy(buf, head.length);
    return buf;
}
