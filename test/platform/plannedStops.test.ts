/** Guards against LOST: requests that come late in a planned stop are passed on, and cut when the stop ends. */
import { expect } from "chai";
import { PlatformMesh, wireConfig, wireRoute } from "../support/platformMesh.ts";
import type { MeshHost } from "../support/platformMesh.ts";

const WORK_MS = 2500;
const SEND_INTERVAL_MS = 100;
const DEADLINE_MS = 8000;

describe("a planned stop beside slow targets", () => {
    for (const stopped of ["the entry node", "the node beside a target"] as const) {
        it(`cuts no request that a target has run, if it stops ${stopped}`, async () => {
            const mesh = new PlatformMesh();
            await mesh.start([
                { name: "edge", service: "stock" },
                { name: "shop-1", service: "shop" },
                { name: "shop-2", service: "shop" },
            ], {
                config: wireConfig(1, [
                    wireRoute({ kind: "unsafe", path_prefix: "/unsafe/", timeout: "8s" }),
                ]),
            });
            const [edge, shop1] = mesh.hosts;
            for (const { app } of mesh.hosts) app.workMs = WORK_MS;
            const leaving = stopped === "the entry node" ? edge! : shop1!;
            let sent = 0;
            const statuses = new Map<string, number | "cut">();
            const send = async (from: MeshHost) => {
                const id = `q${++sent}`;
                const answer = from.send({ path: "/unsafe/x", id, method: "POST", deadlineMs: DEADLINE_MS });
                statuses.set(id, await answer.then(({ status }) => status, () => "cut" as const));
            };
            await Promise.all([send(leaving), send(leaving)]);
            let isStopped = false;
            const stop = leaving.node.stop().then(() => isStopped = true);
            const answers: Promise<void>[] = [];
            while (!isStopped) {
                answers.push(send(leaving));
                await new Promise(resolve => setTimeout(resolve, SEND_INTERVAL_MS));
            }
            await Promise.all([stop, ...answers]);
            const ran = mesh.hosts.flatMap(({ app }) => app.executed.map(({ id }) => id));
            expect(ran.filter(id => statuses.get(id) !== 200)).to.deep.equal([]);
            expect(ran.length).to.be.greaterThan(5);
            await mesh.stop();
        });
    }
});
