/**
 * Ports for listeners, including those that are closed and opened again during a test. They lie below the
 * ephemeral port range, so that no outgoing connection can take a port while its listener is closed.
 */
import { createServer } from "node:net";

const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;

let nextOffset = process.pid * 97 % PORT_COUNT;

export async function freeListenerPort(): Promise<number> {
    for (;;) {
        const port = FIRST_PORT + nextOffset;
        nextOffset = (nextOffset + 1) % PORT_COUNT;
        if (await isFree(port)) return port;
    }
}

function isFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
