/** What a restarted node learns from others that the store does not know. */
import { expect } from "chai";
import { PlatformMesh, waitFor } from "../support/platformMesh.ts";
import type { MeshHost } from "../support/platformMesh.ts";

const NODES_TOPIC = "keyed.filbertspool-nodes";

describe("a restarted node", () => {
    let mesh: PlatformMesh;

    beforeEach(async () => {
        mesh = new PlatformMesh();
        await mesh.start([
            { name: "edge", service: "stock" },
            { name: "shop-1", service: "shop" },
            { name: "shop-2", service: "shop" },
        ]);
    });

    afterEach(() => mesh.stop());

    it("does not use a target again that left while the store was unavailable and its node was killed", async () => {
        const [edge, shop1] = mesh.hosts;
        mesh.store.fault = "busy";
        await shop1!.app.deregister();
        shop1!.node.close();
        await waitFor(
            "disconnected",
            () => edge!.node.meshNode.directory.get("shop-1")?.isConnected === false,
        );
        mesh.store.fault = "none";
        const { node } = await mesh.startNode(shop1!.settings);
        await waitFor("connected", () => edge!.node.meshNode.directory.get("shop-1")?.isConnected === true);
        for (let index = 0; index < 10; index++) {
            expect((await edge!.send({ path: "/safe/", id: `q${index}` })).status).to.equal(200);
            await new Promise(resolve => setTimeout(resolve, 50));
        }
        expect(shop1!.app.executed).to.deep.equal([]);
        node.close();
    });

    const WAYS_TO_LEAVE = {
        "deregistered": async ({ app }: MeshHost) => app.deregister(),
        "announced that it drains": async ({ app }: MeshHost) => void await app.heartbeat("draining"),
    };
    const WAYS_TO_END = {
        "stopped": ({ node }: MeshHost) => node.stop(),
        "killed": async ({ node }: MeshHost) => node.close(),
    };

    for (const [way, leave] of Object.entries(WAYS_TO_LEAVE)) {
        for (const [ending, end] of Object.entries(WAYS_TO_END)) {
            // Guards against DRAIN: a late heartbeat brought back a target whose leaving had been acknowledged.
            it(`does not use a target that ${way} before the node was ${ending}, after a late heartbeat`, async () => {
                const [edge, shop1] = mesh.hosts;
                await leave(shop1!);
                await end(shop1!);
                const { node } = await mesh.startNode(shop1!.settings);
                await waitFor("connected", () => isConnected(edge!));
                await shop1!.app.heartbeat("ready");
                await sendTen(edge!);
                expect(shop1!.app.executed).to.deep.equal([]);
                shop1!.app.restart("i-shop-1");
                await shop1!.app.heartbeat("ready");
                await waitFor("the new start", () => isUsable(edge!));
                node.close();
            });
        }
    }

    it("does not use a target that left, if the store is away at the restart and answers later", async () => {
        const [edge, shop1] = mesh.hosts;
        await shop1!.app.deregister();
        shop1!.node.close();
        mesh.store.fault = "busy";
        const { node } = await mesh.startNode(shop1!.settings);
        await shop1!.app.heartbeat("ready");
        await sendTen(edge!);
        mesh.store.fault = "none";
        await waitFor("the configuration", () => node.meshNode.configVersion === 1);
        await waitFor("connected", () => isConnected(edge!));
        await sendTen(edge!);
        expect(shop1!.app.executed).to.deep.equal([]);
        node.close();
    });

    it("does not use a target that left, after two restarts of which the first one could not read the store", async () => {
        const [edge, shop1] = mesh.hosts;
        await shop1!.app.deregister();
        await shop1!.node.stop();
        await waitFor(
            "stored",
            () => mesh.store.newest(NODES_TOPIC).get("shop-1")?.includes("hasLeft") === true,
        );
        mesh.store.fault = "busy";
        const first = await mesh.startNode(shop1!.settings);
        const stopped = first.node.stop();
        await shop1!.app.heartbeat("ready");
        mesh.store.fault = "none";
        await stopped;
        edge!.node.meshNode.directory.remove("shop-1");
        const { node } = await mesh.startNode(shop1!.settings);
        await shop1!.app.heartbeat("ready");
        await waitFor("connected", () => isConnected(edge!));
        await sendTen(edge!);
        expect(shop1!.app.executed).to.deep.equal([]);
        node.close();
    });

    it("uses the target of another service that takes over the address of one that left", async () => {
        const [edge, shop1] = mesh.hosts;
        await shop1!.app.deregister();
        await shop1!.node.stop();
        const { node } = await mesh.startNode({ ...shop1!.settings, service: "stock" });
        shop1!.app.restart("i-stock-9", "stock");
        await shop1!.app.heartbeat("ready");
        const { directory } = edge!.node.meshNode;
        await waitFor("usable", () => isUsable(edge!) && directory.nodesOfService("stock").length === 2);
        node.close();
    });

    it("uses its target again at once if only the node stopped and refused runs", async () => {
        const [edge, shop1, shop2] = mesh.hosts;
        const { directory } = edge!.node.meshNode;
        shop1!.app.mode = "hold";
        shop2!.app.mode = "hold";
        const answer = shop1!.send({ path: "/safe/", id: "held", deadlineMs: 6000 }).catch(() => undefined);
        await waitFor("the run", () => shop1!.app.executed.length + shop2!.app.executed.length === 1);
        const stopped = shop1!.node.stop();
        await waitFor("refusing", () => directory.get("shop-1")?.record.isRefusingRuns === true);
        expect(isUsable(edge!)).to.equal(false);
        for (const { app } of [shop1!, shop2!]) {
            app.releaseHeldResponses();
            app.mode = "healthy";
        }
        await Promise.all([stopped, answer]);
        const { node } = await mesh.startNode(shop1!.settings);
        await waitFor("usable", () => isUsable(edge!));
        node.close();
    });
});

function isConnected(from: MeshHost): boolean {
    return from.node.meshNode.directory.get("shop-1")?.isConnected === true;
}

function isUsable(from: MeshHost): boolean {
    return from.node.meshNode.directory.get("shop-1")?.isUsable === true;
}

async function sendTen(from: MeshHost): Promise<void> {
    for (let index = 0; index < 10; index++) {
        expect((await from.send({ path: "/safe/", id: `q${Math.random()}` })).status).to.equal(200);
        await new Promise(resolve => setTimeout(resolve, 50));
    }
}
