/**
 * Guards against an old configuration that stays in force (CONFIG) while open connections are silent and new ones work.
 * A node has to be up to date 3 s after they went silent, and 2 s after the change was stored.
 */
import { expect } from "chai";
import { PlatformMesh, wireConfig } from "../support/platformMesh.ts";

const STABLE_WINDOW_MS = 3000;
const CONFIG_APPLY_MS = 2000;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe("silent connections to the store", () => {
    let mesh: PlatformMesh;

    beforeEach(async () => {
        mesh = new PlatformMesh();
        await mesh.start([
            { name: "edge", service: "stock" },
            { name: "shop-1", service: "shop" },
            { name: "shop-2", service: "shop" },
        ]);
        await sleep(2000);
        mesh.store.putConfig(wireConfig(2));
        await sleep(1000);
    });

    afterEach(() => mesh.stop());

    const versions = () => mesh.hosts.map(({ node }) => node.meshNode.configVersion);

    for (const direction of ["both", "responses"] as const) {
        it(`do not delay a configuration that follows (${direction})`, async () => {
            mesh.store.silenceConnections(direction);
            await sleep(STABLE_WINDOW_MS);
            mesh.store.putConfig(wireConfig(3));
            await sleep(CONFIG_APPLY_MS);
            expect(versions()).to.deep.equal([3, 3, 3]);
        });
    }

    it("do not delay a configuration that was stored right after they went silent", async () => {
        mesh.store.silenceConnections();
        mesh.store.putConfig(wireConfig(3));
        await sleep(STABLE_WINDOW_MS);
        expect(versions()).to.deep.equal([3, 3, 3]);
    });

    it("of one node do not delay it on any", async () => {
        mesh.store.silenceConnections("both", mesh.hosts[0]!.settings.store.host);
        await sleep(100);
        mesh.store.putConfig(wireConfig(3));
        await sleep(CONFIG_APPLY_MS);
        expect(versions()).to.deep.equal([3, 3, 3]);
    });

    it("do not keep a node's record from being stored", async () => {
        mesh.store.silenceConnections();
        const [, shop1] = mesh.hosts;
        await shop1!.app.deregister();
        await sleep(STABLE_WINDOW_MS);
        const stored = mesh.store.newest("keyed.filbertspool-nodes").get("shop-1")?.toString() ?? "";
        expect(JSON.parse(stored)).to.have.nested.property("target.state", "gone");
    });
});
