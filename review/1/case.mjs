/** An instance deregisters, its node is stopped and started again, and an earlier heartbeat of the instance arrives late. */
import path from "node:path";
import { fileURLToPath } from "node:url";
import { configuration, Deployment, DRAIN_MS, route, sleep, STABLE_WINDOW_MS } from "../lib/deployment.mjs";

/** Lateness of the heartbeat: within the page's "seconds". */
const HEARTBEAT_DELAY_MS = 4000;
const RESTART_DELAY_MS = 300;
/** The instance serves on for many seconds after its deregistration, as the page says instances do at times. */
const SERVES_ON_MS = 15_000;
const REQUESTS = 100;
const REQUEST_INTERVAL_MS = 30;

const deployment = new Deployment(path.dirname(fileURLToPath(import.meta.url)));

await deployment.run(async d => {
    await d.startStore(configuration(3, [
        route({ name: "r-book", path_prefix: "/book/", kind: "unsafe", service: "booking" }),
    ], ["booking", "calendar"]));
    const edge = await d.addMachine({ name: "edge", service: "calendar" });
    const leaving = await d.addMachine({ name: "booking-1", service: "booking" });
    const staying = await d.addMachine({ name: "booking-2", service: "booking", zone: "zone-b" });
    await sleep(4000);

    const sendSome = async label => {
        const answers = [];
        for (let count = 0; count < REQUESTS; count++) {
            answers.push(d.send(edge, { method: "POST", path: "/book/seat", body: "seat=7", label }));
            await sleep(REQUEST_INTERVAL_MS);
        }
        return Promise.all(answers);
    };
    const ranAt = ({ instance }, label) => instance.runs.filter(({ id }) => id.startsWith(label)).length;
    for (const { instance } of [leaving, staying]) {
        instance.runs = [];
        instance.onRun = req => void instance.runs.push({ id: req.headers["x-request-id"] });
    }
    await sendSome("before");
    if (ranAt(leaving, "before") === 0) throw new Error("the instance got no requests before it left");

    const { instance } = leaving;
    instance.stopHeartbeats();
    const lateHeartbeat = instance.nextHeartbeat();
    const heartbeatDue = sleep(HEARTBEAT_DELAY_MS);
    if (await instance.deregister() !== 200) throw new Error("the deregistration was not acknowledged");
    const ackedAt = performance.now();
    await sleep(300);
    if (d.isTroubled) {
        await d.endNode(leaving, "SIGTERM");
        await sleep(RESTART_DELAY_MS);
        await d.startNode(leaving);
    }
    await heartbeatDue;
    await instance.heartbeat(lateHeartbeat);

    const inTouchAt = Math.max(leaving.readyAt + STABLE_WINDOW_MS, ackedAt + DRAIN_MS) + 500;
    await sleep(inTouchAt - performance.now());
    const answers = await sendSome("after");
    const late = ranAt(leaving, "after");
    const lastMs = Math.round(performance.now() - ackedAt);
    if (lastMs > SERVES_ON_MS) throw new Error("the instance would have exited before the last request");
    const served = answers.filter(({ status }) => status === 200).length;
    return {
        isBroken: late > 0,
        summary: `${late} of ${REQUESTS} requests sent at least ${DRAIN_MS} ms after the acknowledged `
            + `deregistration ran at the instance that left; ${served} were answered with 200`,
    };
});
