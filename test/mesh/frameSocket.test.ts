/** Pings on connections between nodes: a dead connection is closed, and an idle one causes little traffic. */
import { expect } from "chai";
import { JSONRPCServer } from "json-rpc-2.0";
import { once } from "node:events";
import net from "node:net";
import { steadyNow } from "../../src/mesh/clock.ts";
import { FrameSocket } from "../../src/mesh/frameSocket.ts";

const TICK_MS = 100;

/** Calls `tick` at intervals of a simulated time span of `ms` on a connection whose other side never sends. */
async function tickFor(ms: number, { isAccepted, isAwaitingResponse }: {
    readonly isAccepted: boolean;
    readonly isAwaitingResponse: boolean;
}): Promise<{ readonly sentBytes: number; readonly isClosed: boolean; }> {
    const server = net.createServer(socket => socket.resume());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
    await once(socket, "connect");
    const frameSocket = new FrameSocket({
        socket,
        isAccepted,
        rpcServer: new JSONRPCServer(),
        onFrame: () => undefined,
        onClose: () => undefined,
        configVersion: () => 1,
    });
    const startedAt = steadyNow();
    for (let elapsedMs = 0; elapsedMs <= ms; elapsedMs += TICK_MS) {
        frameSocket.tick(startedAt + elapsedMs, isAwaitingResponse);
    }
    await new Promise(resolve => setTimeout(resolve, 20));
    const result = { sentBytes: socket.bytesWritten, isClosed: socket.destroyed };
    socket.destroy();
    server.close();
    return result;
}

describe("pings between nodes", () => {
    it("close a silent connection within about a second while responses are pending", async () => {
        const { isClosed } = await tickFor(1300, { isAccepted: false, isAwaitingResponse: true });
        expect(isClosed).to.equal(true);
    });

    it("are sent on an idle connection by the side that opened it, long before the other side sends any", async () => {
        const opener = await tickFor(4200, { isAccepted: false, isAwaitingResponse: false });
        expect(opener.sentBytes).to.be.greaterThan(0);
        const accepted = await tickFor(19_000, { isAccepted: true, isAwaitingResponse: false });
        expect(accepted).to.deep.equal({ sentBytes: 0, isClosed: false });
    });
});
