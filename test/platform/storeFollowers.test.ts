/** Requests to the store of a mesh in which most nodes do not follow it. */
import { expect } from "chai";
import net from "node:net";
import { followerCountOf } from "../../src/policy/storeRole.ts";
import { PlatformMesh, waitFor, wireConfig } from "../support/platformMesh.ts";

const NODES_TOPIC = "keyed.filbertspool-nodes";
const NODE_COUNT = 32;
/** Bounds of the platform: time after a disruption in which nodes need not be up to date, and time to apply a change. */
const STABLE_WINDOW_MS = 3000;
const CONFIG_APPLY_MS = 2000;
/** Time in which the nodes settle: longer than the time until a node takes its role. */
const SETTLE_MS = 2500;

describe("a mesh with more nodes than followers of the store", () => {
    let mesh: PlatformMesh;

    before(async () => {
        mesh = new PlatformMesh();
        await mesh.start(Array.from({ length: NODE_COUNT }, (_, index) => ({
            name: `node-${index}`,
            service: index % 2 === 0 ? "shop" : "stock",
        })));
        await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    });

    after(() => mesh.stop());

    const versions = () => mesh.hosts.map(({ node }) => node.meshNode.configVersion);
    const followers = () => mesh.hosts.filter(({ node }) => node.meshNode.storeRole.kind === "follow").length;
    const settle = () => new Promise(resolve => setTimeout(resolve, SETTLE_MS));

    it("delivers each configuration to all nodes with reads by the followers only", async () => {
        await settle();
        expect(followers()).to.equal(followerCountOf(NODE_COUNT));
        const { requestCount } = mesh.store;
        mesh.store.putConfig(wireConfig(2));
        await waitFor("version 2", () => versions().every(version => version === 2));
        await settle();
        // One read per follower ends with the new version. Some of the next ones reach their longest wait meanwhile.
        expect(mesh.store.requestCount - requestCount).to.be.at.most(2 * followerCountOf(NODE_COUNT));
    });

    it("ends on the newest of many configurations in quick succession, with few reads", async () => {
        const { requestCount } = mesh.store;
        for (let version = 3; version <= 27; version++) {
            mesh.store.putConfig(wireConfig(version));
            await new Promise(resolve => setTimeout(resolve, 40));
        }
        await waitFor("version 27", () => versions().every(version => version === 27));
        expect(mesh.store.requestCount - requestCount).to.be.at.most(10 * followerCountOf(NODE_COUNT));
    });

    // Guards against lost records of nodes that read every 120 s only, and against a report by each node to each other.
    it("gets back the records of all nodes within 4 s after the store went back, with few requests", async () => {
        const { requestCount } = mesh.store;
        mesh.store.rollBack(NODES_TOPIC, mesh.store.lengthOf(NODES_TOPIC));
        await new Promise(resolve => setTimeout(resolve, 4000));
        expect(mesh.store.newest(NODES_TOPIC).size).to.equal(NODE_COUNT);
        // Beside the reads of the followers, at most one write and three reads of each node.
        expect(mesh.store.requestCount - requestCount).to.be.at.most(6 * NODE_COUNT);
        expect(versions().filter(version => version !== 27)).to.deep.equal([]);
    });

    it("sends no state on an accepted connection, since it sends it on its own one", async () => {
        const socket = net.connect(mesh.hosts[0]!.settings.peer.port, "127.0.0.1");
        let receivedBytes = 0;
        socket.on("data", chunk => receivedBytes += chunk.length);
        await new Promise(resolve => setTimeout(resolve, 200));
        socket.destroy();
        expect(receivedBytes).to.equal(0);
    });

    // Guards against CONFIG: an old configuration in force while no connection to the store says anything.
    it("delivers a configuration although all open connections to the store went silent before", async () => {
        mesh.store.silenceConnections();
        await new Promise(resolve => setTimeout(resolve, STABLE_WINDOW_MS));
        mesh.store.putConfig(wireConfig(28));
        await new Promise(resolve => setTimeout(resolve, CONFIG_APPLY_MS));
        expect(versions().filter(version => version !== 28)).to.deep.equal([]);
    });

    it("delivers a configuration while all followers are turned away by the store", async () => {
        const turnedAway = mesh.hosts.filter(({ node }) => node.meshNode.storeRole.kind === "follow")
            .map(({ settings }) => settings.store.host);
        mesh.store.refusedAddresses = new Set(turnedAway);
        mesh.store.endLongPolls();
        await waitFor(
            "other followers",
            () =>
                mesh.hosts.some(({ node, settings }) =>
                    !turnedAway.includes(settings.store.host) && node.meshNode.storeRole.kind === "follow"
                ),
        );
        mesh.store.putConfig(wireConfig(30));
        await waitFor("version 30", () => versions().every(version => version === 30));
    });
});
