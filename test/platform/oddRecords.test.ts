/** Records and messages that are not as the node writes them: one of them must not stop a node or hide the others. */
import { expect } from "chai";
import fc from "fast-check";
import net from "node:net";
import { encodeRpc } from "../../src/mesh/frames.ts";
import { PlatformMesh, waitFor, wireConfig, wireRoute } from "../support/platformMesh.ts";

const NODES_TOPIC = "keyed.filbertspool-nodes";
const NESTING_DEPTH = 100_000;

describe("odd records and messages", () => {
    let mesh: PlatformMesh;
    const uncaught: unknown[] = [];
    const onUncaught = (err: unknown) => uncaught.push(err);
    // Mocha's own listeners would fail the test that runs at that moment, with less to say.
    let mochaListeners: NodeJS.UncaughtExceptionListener[] = [];

    beforeEach(() => {
        mesh = new PlatformMesh();
        mochaListeners = process.listeners("uncaughtException");
        process.removeAllListeners("uncaughtException").on("uncaughtException", onUncaught);
        uncaught.length = 0;
    });

    afterEach(async () => {
        await mesh.stop();
        process.removeAllListeners("uncaughtException");
        for (const listener of mochaListeners) process.on("uncaughtException", listener);
    });

    const record = (name: string, address: string, extra: object = {}) => ({
        name,
        address,
        dataCentre: "a",
        startedAt: 1,
        serial: 0,
        target: { id: `i-${name}`, service: "shop", state: "ready", slots: 1, bornAt: 1 },
        ...extra,
    });

    it("do not keep a node from finding the nodes in the records behind them", async () => {
        const odd: readonly (readonly [string, string])[] = [
            ["deep", `${"[".repeat(NESTING_DEPTH)}${"]".repeat(NESTING_DEPTH)}`],
            ["deep-field", `{"name":${"{\"a\":".repeat(NESTING_DEPTH)}1${"}".repeat(NESTING_DEPTH)}}`],
            [
                "number",
                JSON.stringify(record("number", "127.0.0.1:80")).replace("\"serial\":0", "\"serial\":1e400"),
            ],
            ...[-1, 0, 65_536, 99_999].map(port =>
                [
                    `port${port}`,
                    JSON.stringify(record(`port${port}`, `127.0.0.1:${port}`)),
                ] as const
            ),
            ["text-port", JSON.stringify({ ...record("text-port", ""), address: ["127.0.0.1", "80"] })],
            ["host", JSON.stringify(record("host", "999.999.1.1:80"))],
            ["edge", JSON.stringify(record("shop-1", "127.0.0.1:9", { startedAt: 9e15 }))],
            ["bytes", "\u0000\uffff"],
        ];
        for (const [key, value] of odd) mesh.store.append(NODES_TOPIC, { key, value: Buffer.from(value) });
        await mesh.start([
            { name: "edge", service: "stock" },
            { name: "shop-1", service: "shop" },
            { name: "shop-2", service: "shop" },
        ]);
        for (const { node } of mesh.hosts) {
            expect([...node.meshNode.directory.allNodes()].map(known => known.record.name).sort())
                .to.deep.equal(["edge", "shop-1", "shop-2"]);
        }
        expect((await mesh.hosts[0]!.send({ path: "/safe/", id: "q1" })).status).to.equal(200);
        expect(uncaught).to.deep.equal([]);
    });

    it("reject a configuration with a route without a service and keep the version before", async () => {
        await mesh.start([{ name: "shop-1", service: "shop" }]);
        const [host] = mesh.hosts;
        mesh.store.putConfig(wireConfig(2, [wireRoute({ service: undefined })]));
        await waitFor("a log line", () => host!.log.some(line => line.includes("config-unreadable")));
        expect(host!.log.find(line => line.includes("config-unreadable"))).to.include(
            "virtual_hosts.0.paths.0",
        );
        expect((await host!.send({ path: "/safe/", id: "q1" })).status).to.equal(200);
        expect(host!.node.meshNode.configVersion).to.equal(1);
        mesh.store.putConfig(wireConfig(3));
        await waitFor("the next version", () => host!.node.meshNode.configVersion === 3);
    });

    it("do not limit the number of a configuration version to 32 bits, nor a timeout to that of a timer", async () => {
        const version = 2 ** 40;
        const config = wireConfig(version, [wireRoute({ timeout: "99999999s" })]);
        await mesh.start([{ name: "edge", service: "stock" }, { name: "shop-1", service: "shop" }], {
            config,
        });
        const [edge] = mesh.hosts;
        for (const id of ["q1", "q2"]) {
            const res = await edge!.send({ path: "/safe/", id, deadlineMs: 1e14 });
            expect(res.status).to.equal(200);
        }
        expect(edge!.node.meshNode.configVersion).to.equal(version);
        expect(uncaught).to.deep.equal([]);
    });

    it("from any connection to the peer listener close at most that connection", async () => {
        await mesh.start([{ name: "edge", service: "stock" }, { name: "shop-1", service: "shop" }]);
        const [edge, shop] = mesh.hosts;
        const messages = fc.oneof(
            fc.constantFrom("null", "1", "[]", "[null]", "{}", "\"x\"", `${"[".repeat(NESTING_DEPTH)}`),
            fc.json(),
            fc.record({
                jsonrpc: fc.constant("2.0"),
                method: fc.constantFrom("node.hello", "node.update", "routes.use", "nodes.list", "x"),
                params: fc.anything(),
                id: fc.option(fc.integer(), { nil: undefined }),
            }).map(message =>
                JSON.stringify(message, (_, value: unknown) => typeof value === "bigint" ? 1 : value) ?? ""
            ),
        );
        await fc.assert(
            fc.asyncProperty(messages, async message => {
                const socket = net.connect(shop!.settings.peer.port, "127.0.0.1");
                socket.on("error", () => undefined);
                socket.resume();
                socket.write(encodeRpc(message));
                await new Promise(resolve => setTimeout(resolve, 5));
                socket.destroy();
            }),
            { numRuns: 150, seed: 11 },
        );
        expect(uncaught).to.deep.equal([]);
        expect((await edge!.send({ path: "/safe/", id: "q1" })).status).to.equal(200);
    });
});
