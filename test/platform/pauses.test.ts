/** A node that was paused must not run a request whose time has passed while its bytes waited in the kernel. */
import { expect } from "chai";
import net from "node:net";
import { encodeRequest } from "../../src/mesh/frames.ts";
import { PauseDetector } from "../../src/mesh/pauseDetector.ts";
import { makeForwardedRequest } from "../support/meshFixtures.ts";
import { PlatformMesh, VIRTUAL_HOST } from "../support/platformMesh.ts";

const PAUSE_MS = 1500;

/** Blocks the event loop, as if the process was stopped. */
function pauseProcess(): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, PAUSE_MS);
}

describe("a paused node", () => {
    let mesh: PlatformMesh;

    beforeEach(async () => {
        mesh = new PlatformMesh();
        await mesh.start([{ name: "edge", service: "stock" }, { name: "shop-1", service: "shop" }]);
    });

    afterEach(() => mesh.stop());

    const settle = () => new Promise(resolve => setTimeout(resolve, 200));
    const executedIds = () => mesh.hosts[1]!.app.executed.map(({ id }) => id);

    async function connect(port: number): Promise<{ socket: net.Socket; received: () => string; }> {
        const socket = net.connect(port, "127.0.0.1");
        let received = "";
        socket.on("data", chunk => received += chunk.toString("latin1"));
        await new Promise(resolve => socket.once("connect", resolve));
        await settle();
        return { socket, received: () => received };
    }

    it("does not run a request of another node whose time has passed meanwhile", async () => {
        const { socket } = await connect(mesh.hosts[1]!.settings.peer.port);
        const request = (requestId: string, leftMs: number) =>
            makeForwardedRequest({
                requestId,
                headers: `Host: h\r\nX-Request-Id: ${requestId}\r\n`,
                service: "shop",
                isIdempotent: false,
                leftMs,
            });
        const frames = [
            encodeRequest(1, request("expired", 1000)),
            encodeRequest(2, request("in-time", 8000)),
        ];
        for (const buffer of frames.flat()) socket.write(buffer);
        pauseProcess();
        await settle();
        socket.destroy();
        expect(executedIds()).to.deep.equal(["in-time"]);
        expect(mesh.hosts[1]!.app.executed[0]!.deadlineMs).to.be.lessThan(8000 - PAUSE_MS / 2);
    });

    it("does not run a client's request whose deadline has passed meanwhile", async () => {
        const { socket, received } = await connect(mesh.hosts[0]!.settings.outbound.port);
        socket.write(
            `POST /unsafe/ HTTP/1.1\r\nHost: ${VIRTUAL_HOST}\r\nX-Request-Id: expired\r\n`
                + "X-Request-Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n",
        );
        pauseProcess();
        await settle();
        socket.destroy();
        expect(executedIds()).to.deep.equal([]);
        expect(received()).to.match(/^HTTP\/1\.1 503 /);
    });
});

describe("the pause detector", () => {
    it("reports the time since the expected tick until the sockets have been read", async () => {
        const detector = new PauseDetector(100);
        detector.tick(0);
        expect(detector.pauseMs(150)).to.equal(0);
        expect(detector.pauseMs(5100)).to.equal(5000);
        detector.tick(5100);
        expect(detector.pauseMs(5100)).to.equal(5000);
        await new Promise(resolve => setImmediate(resolve));
        expect(detector.pauseMs(5110)).to.equal(0);
    });
});
