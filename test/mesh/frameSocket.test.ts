/** Pings on connections between nodes: a dead connection is closed, and an idle one causes little traffic. */
import { expect } from "chai";
import { JSONRPCServer } from "json-rpc-2.0";
import { once } from "node:events";
import net from "node:net";
import { steadyNow } from "../../src/mesh/clock.ts";
import { EventLog } from "../../src/mesh/eventLog.ts";
import { FrameReader } from "../../src/mesh/frameReader.ts";
import { encodePong } from "../../src/mesh/frames.ts";
import { FrameSocket } from "../../src/mesh/frameSocket.ts";
import { Peers } from "../../src/mesh/peers.ts";
import { ACCEPTED_IDLE_KEEPALIVE_MS } from "../../src/mesh/peerServer.ts";
import { CutoffBroadcast, idleKeepaliveMs } from "../../src/policy/controlRate.ts";
import { RouteCalls } from "../../src/policy/routeCalls.ts";
import { RouteDependencyMap } from "../../src/policy/routeDependencies.ts";
import { makeForwardedRequest } from "../support/meshFixtures.ts";
import { waitFor } from "../support/platformMesh.ts";

const TICK_MS = 100;

/**
 * Start of a simulated time span, in whole milliseconds. With fractions, the difference of two times that are 500 ms
 * apart can be rounded to less than 500 ms, so that a tick which is exactly due does nothing.
 */
const simulationStart = () => Math.ceil(steadyNow());

/** Calls `tick` at intervals of a simulated time span of `ms` on a connection whose other side never sends. */
async function tickFor(
    ms: number,
    keepaliveMs: number,
): Promise<{ readonly sentBytes: number; readonly isClosed: boolean; }> {
    const server = net.createServer(socket => socket.resume());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
    await once(socket, "connect");
    const frameSocket = new FrameSocket({
        socket,
        rpcServer: new JSONRPCServer(),
        onFrame: () => undefined,
        onClose: () => undefined,
        configVersion: () => 1,
    });
    const startedAt = simulationStart();
    for (let elapsedMs = 0; elapsedMs <= ms; elapsedMs += TICK_MS) {
        frameSocket.tick(startedAt + elapsedMs, keepaliveMs);
    }
    await new Promise(resolve => setTimeout(resolve, 20));
    const result = { sentBytes: socket.bytesWritten, isClosed: socket.destroyed };
    socket.destroy();
    server.close();
    return result;
}

describe("pings between nodes", () => {
    const NODE_COUNT = 30;
    let server: net.Server;
    let port = 0;
    let peers: Peers;

    let isAnswering: boolean;
    let pingCount: number;

    /** Nodes that answer pings as long as `isAnswering`, each at an address of its own. */
    beforeEach(async () => {
        isAnswering = true;
        pingCount = 0;
        server = net.createServer(socket => {
            const reader = new FrameReader();
            socket.on("error", () => undefined).on("data", chunk => {
                reader.feed(chunk);
                for (let frame = reader.next(); frame !== undefined; frame = reader.next()) {
                    if (frame.type !== "ping") continue;
                    pingCount++;
                    if (isAnswering) socket.write(encodePong(1));
                }
            });
        });
        server.listen(0, "0.0.0.0");
        await once(server, "listening");
        port = (server.address() as net.AddressInfo).port;
        peers = new Peers({
            name: "self",
            dataCentre: "a",
            log: new EventLog({ write: () => undefined }),
            ownRecord: () => record("self", 1),
            configVersion: () => 1,
            encodedConfig: () => undefined,
            onConfig: () => undefined,
            dependencies: new RouteDependencyMap(),
            routeCalls: new RouteCalls(),
            onCrashReport: () => undefined,
            crashState: () => undefined,
            onNodeCountChange: () => undefined,
        });
        for (let index = 0; index < NODE_COUNT; index++) {
            peers.directory.upsert(record(`n${index}`, 20 + index));
        }
        await waitFor("connections", () => connectedCount() === NODE_COUNT && pingCount === NODE_COUNT);
        await settle();
    });

    afterEach(() => {
        peers.close();
        server.close();
    });

    const record = (name: string, host: number) => ({
        name,
        address: `127.0.0.${host}:${port}`,
        dataCentre: "a",
        startedAt: 1,
        serial: 0,
        target: undefined,
    });
    const connectedCount = () => [...peers.directory.allNodes()].filter(node => node.isConnected).length;
    const settle = () => new Promise(resolve => setTimeout(resolve, 30));

    /** Ticks for a simulated time. */
    async function tickPeersFor(ms: number): Promise<void> {
        const startedAt = simulationStart();
        for (let elapsedMs = 0; elapsedMs <= ms; elapsedMs += TICK_MS) peers.tick(startedAt + elapsedMs);
        await settle();
    }

    it("close a silent connection within about a second while responses are pending", async () => {
        const { isClosed } = await tickFor(1300, 300);
        expect(isClosed).to.equal(true);
    });

    it("are sent by the side that opened a connection, on one idle connection at a time", async () => {
        pingCount = 0;
        const startedAt = simulationStart();
        // The first tick is later than the interval, since the connections have just answered their first pings.
        for (let elapsedMs = 600; elapsedMs <= 3600; elapsedMs += 500) {
            peers.tick(startedAt + elapsedMs);
            await settle();
        }
        expect(connectedCount()).to.equal(NODE_COUNT);
        expect(pingCount).to.equal(7);
        const accepted = await tickFor(19_000, ACCEPTED_IDLE_KEEPALIVE_MS);
        expect(accepted).to.deep.equal({ sentBytes: 0, isClosed: false });
    });

    it("are sent on all connections at once when one of them turns out to be dead", async () => {
        isAnswering = false;
        const node = peers.directory.get("n0")!;
        peers.send(node, makeForwardedRequest(), { onOutcome: () => undefined, onSilent: () => undefined });
        await tickPeersFor(900);
        expect(connectedCount()).to.equal(NODE_COUNT);
        await tickPeersFor(2200);
        expect(connectedCount()).to.equal(0);
    });

    // Guards against CONFIG: a node that learns nothing new while all its connections are silent and it sends nothing.
    it("show within 2.2 s that all connections are silent, also without a request in progress", async () => {
        isAnswering = false;
        await tickPeersFor(2200);
        expect(connectedCount()).to.equal(0);
    });

    it("are limited in a large mesh, for each node", () => {
        for (const nodeCount of [17, 195, 950]) {
            expect(nodeCount * 1000 / idleKeepaliveMs(nodeCount), `${nodeCount} nodes`).to.be.at.most(25);
        }
        expect(idleKeepaliveMs(17)).to.equal(4000);
    });
});

describe("the broadcast of a cutoff", () => {
    /** Number of messages in 10 s in which the cutoff changes every 100 ms. */
    const broadcastsIn10s = (nodeCount: number) => {
        const broadcast = new CutoffBroadcast(1023);
        return Array.from({ length: 100 }, (_, tick) => broadcast.isDue(500 + tick, nodeCount, tick * 100))
            .filter(isDue => isDue).length;
    };

    it("sends each change in a small mesh, and fewer in a large one", () => {
        expect(broadcastsIn10s(17)).to.equal(100);
        expect(broadcastsIn10s(195) * 195 / 10).to.be.at.most(500);
        expect(broadcastsIn10s(950)).to.equal(20);
    });

    it("sends the beginning and the end of an overload at once, and a last change in the end", () => {
        const broadcast = new CutoffBroadcast(1023);
        expect(broadcast.isDue(1023, 950, 0)).to.equal(false);
        expect(broadcast.isDue(600, 950, 100)).to.equal(true);
        expect(broadcast.isDue(500, 950, 200)).to.equal(false);
        expect(broadcast.isDue(500, 950, 700)).to.equal(true);
        expect(broadcast.isDue(1023, 950, 800)).to.equal(true);
    });
});
