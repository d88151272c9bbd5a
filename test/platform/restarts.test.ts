/** What a restarted node learns from others that the store does not know. */
import { expect } from "chai";
import { PlatformMesh, waitFor } from "../support/platformMesh.ts";

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
});
