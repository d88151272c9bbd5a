/** The open connections to the store go silent for good, and the operator changes the configuration some seconds later. */
import path from "node:path";
import { fileURLToPath } from "node:url";
import {
    CONFIG_APPLY_MS,
    configuration,
    Deployment,
    route,
    sleep,
    STABLE_WINDOW_MS,
} from "../lib/deployment.mjs";
import { Proxy } from "../lib/proxy.mjs";

/** Bound of the site file by which an unstable core may stretch the time of a change. */
const MAX_SKEW_MS = 5000;
const REQUESTS = 300;
const REQUEST_INTERVAL_MS = 30;

const deployment = new Deployment(path.dirname(fileURLToPath(import.meta.url)));
const SERVICES = ["booking", "calendar", "gallery"];
const configOf = (version, bookingService, extra = []) =>
    configuration(version, [
        route({ name: "r-book", path_prefix: "/book/", kind: "unsafe", service: bookingService }),
        ...extra,
    ], SERVICES);

await deployment.run(async d => {
    await d.startStore(configOf(3, "booking"));
    const proxy = new Proxy(d.storeAddress);
    d.storeAddress = await proxy.start("127.0.0.1");
    const machines = [];
    for (
        const [name, service] of [["edge", "gallery"], ["booking-1", "booking"], ["calendar-1", "calendar"]]
    ) {
        machines.push(await d.addMachine({ name, service }));
    }
    await sleep(5000);
    const extra = [route({ name: "r-look", path_prefix: "/look/", kind: "safe", service: "gallery" })];
    d.putConfig(configOf(5, "booking", extra));
    await sleep(1000);
    const [edge] = machines;
    const before = await d.send(edge, {
        method: "POST",
        path: "/book/seat",
        body: "seat=1",
        label: "before",
    });
    if (before.body !== `i-booking-1 ran ${before.id}`) {
        throw new Error("the first configuration does not work");
    }

    if (d.isTroubled) d.record({ event: "connections-silenced", count: proxy.silence() });
    await sleep(STABLE_WINDOW_MS + 500);
    const ackedAt = d.putConfig(configOf(8, "calendar", extra));
    await sleep(CONFIG_APPLY_MS + 100);
    const answers = [];
    for (let count = 0; count < REQUESTS; count++) {
        const sentMs = performance.now() - ackedAt;
        const request = { method: "POST", path: "/book/seat", body: "seat=1", label: "after" };
        answers.push(d.send(edge, request).then(answer => ({ ...answer, sentMs })));
        await sleep(REQUEST_INTERVAL_MS);
    }
    const stale = (await Promise.all(answers)).filter(({ body }) => body?.startsWith("i-booking-1 "));
    const veryStale = stale.filter(({ sentMs }) => sentMs > CONFIG_APPLY_MS + MAX_SKEW_MS);
    const lastMs = Math.round(stale.at(-1)?.sentMs ?? 0);
    proxy.stop();
    return {
        isBroken: stale.length > 0,
        summary: `${stale.length} of ${REQUESTS} requests sent later than ${CONFIG_APPLY_MS} ms after the `
            + `acknowledgement were run by the old service, ${veryStale.length} of them later than `
            + `${CONFIG_APPLY_MS + MAX_SKEW_MS} ms, the last one after ${lastMs} ms`,
    };
});
