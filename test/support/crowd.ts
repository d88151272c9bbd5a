/** Clients that send and read as no ordinary client does, on raw connections to a node. */
import net from "node:net";
import { VIRTUAL_HOST } from "./platformMesh.ts";

const PIECE_BYTES = 64 * 1024;
const PIECE = Buffer.alloc(PIECE_BYTES, "x");
const CHUNK = Buffer.concat([Buffer.from(`${PIECE_BYTES.toString(16)}\r\n`), PIECE, Buffer.from("\r\n")]);
/** Bounds the time of a client that the node neither reads from nor closes. */
const STEP_TIMEOUT_MS = 4000;

export class Crowd {
    private readonly sockets: net.Socket[] = [];

    constructor(private readonly port: number) {}

    close(): void {
        for (const socket of this.sockets) socket.destroy();
    }

    /**
     * Sends the head of a request with this Content-Length and `sentBytes` of its body, at once or piece by piece.
     * Resolves when they are written, the node has closed the connection, or has not read for a while.
     */
    async upload(
        contentLength: number,
        { sentBytes = contentLength, isPiecewise = false }: { sentBytes?: number; isPiecewise?: boolean; } =
            {},
    ): Promise<void> {
        const socket = await this.open();
        socket.write(headOf("PUT", "/upload/1", `Content-Length: ${contentLength}\r\n`));
        if (isPiecewise) await writeRepeatedly(socket, PIECE, sentBytes);
        else await writeOnce(socket, Buffer.alloc(sentBytes, "x"));
    }

    /** Sends a chunked body of this size, without its end. */
    async uploadChunked(bytes: number): Promise<void> {
        const socket = await this.open();
        socket.write(headOf("PUT", "/upload/1", "Transfer-Encoding: chunked\r\n"));
        await writeRepeatedly(socket, CHUNK, bytes);
    }

    /** Sends a part of a request head. */
    async sendPartialHead(bytes: number): Promise<void> {
        const socket = await this.open();
        socket.write(`GET /read/1 HTTP/1.1\r\nX-Long: ${"x".repeat(bytes)}`);
    }

    /** Requests a response of this size, and stops reading after its first bytes. */
    async readSlowly(bytes: number): Promise<void> {
        const socket = await this.open();
        socket.write(headOf("GET", `/read/${bytes}`, ""));
        await untilFirst(socket, ["data"]);
        socket.pause();
    }

    private async open(): Promise<net.Socket> {
        const socket = net.connect(this.port, "127.0.0.1");
        this.sockets.push(socket);
        socket.on("error", () => undefined);
        await untilFirst(socket, ["connect"]);
        return socket;
    }
}

function headOf(method: string, path: string, headers: string): string {
    const id = Math.random().toString(36).slice(2);
    return `${method} ${path} HTTP/1.1\r\nHost: ${VIRTUAL_HOST}\r\nX-Request-Id: ${id}\r\n`
        + `X-Request-Deadline-Ms: 20000\r\n${headers}\r\n`;
}

async function writeOnce(socket: net.Socket, bytes: Buffer): Promise<void> {
    if (!socket.write(bytes)) await untilFirst(socket, ["drain"]);
}

async function writeRepeatedly(socket: net.Socket, piece: Buffer, bytes: number): Promise<void> {
    for (let sent = 0; sent < bytes && !socket.destroyed; sent += piece.length) {
        const isLast = sent + piece.length > bytes;
        const hasRoom = socket.write(isLast && piece === PIECE ? piece.subarray(0, bytes - sent) : piece);
        if (!hasRoom && !await untilFirst(socket, ["drain"])) return;
    }
}

/** Resolves to whether one of the events came before the close of the connection and the timeout. */
function untilFirst(socket: net.Socket, events: readonly string[]): Promise<boolean> {
    return new Promise(resolve => {
        const finish = (isExpected: boolean) => {
            clearTimeout(timer);
            for (const event of events) socket.off(event, onEvent);
            socket.off("close", onClose);
            resolve(isExpected);
        };
        const onEvent = () => finish(true);
        const onClose = () => finish(false);
        const timer = setTimeout(() => finish(false), STEP_TIMEOUT_MS);
        for (const event of events) socket.once(event, onEvent);
        socket.once("close", onClose);
        if (socket.destroyed) finish(false);
    });
}
