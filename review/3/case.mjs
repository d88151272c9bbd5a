/** One request crashes each instance that begins to run it, and its caller sends it again and again. */
import path from "node:path";
import { fileURLToPath } from "node:url";
import { configuration, Deployment, route, sleep, STABLE_WINDOW_MS } from "../lib/deployment.mjs";

const INSTANCES = 4;
const POISON_PATH = "/book/group";
const POISON_BODY = "seats=9999";
const POISON_INTERVAL_MS = 1500;
const POISON_SENDS = 12;
/** Crashes after which the rule counts, and further arrivals that it allows. */
const KNOWN_AFTER_CRASHES = 3;
const ALLOWED_ARRIVALS = 3;
const INSTANCE_DOWN_MS = 2000;
const BOOKING_WORK_MS = 300;
const BOOKING_INTERVAL_MS = 30;

const deployment = new Deployment(path.dirname(fileURLToPath(import.meta.url)));

await deployment.run(async d => {
    await d.startStore(configuration(3, [
        route({ name: "r-book", path_prefix: "/book/", kind: "unsafe", service: "booking" }),
    ], ["booking", "calendar"]));
    /** Times at which the request reached an instance, and at which it crashed one. */
    const arrivals = [];
    const crashes = [];
    const crash = async instance => {
        await instance.crash();
        await sleep(INSTANCE_DOWN_MS);
        await instance.restart(`${instance.id}x`);
    };
    const onRun = (req, instance) => {
        if (req.url !== POISON_PATH) return true;
        arrivals.push(performance.now());
        if (!d.isTroubled) return true;
        crashes.push(performance.now());
        crash(instance).catch(err => d.record({ event: "error", cause: String(err) }));
        return false;
    };
    const edge = await d.addMachine({ name: "edge", service: "calendar" });
    for (let index = 1; index <= INSTANCES; index++) {
        await d.addMachine({ name: `booking-${index}`, service: "booking", workMs: BOOKING_WORK_MS, onRun });
    }
    await sleep(4000);

    let isOver = false;
    const bookings = [];
    const sendBookings = async () => {
        while (!isOver) {
            bookings.push(
                d.send(edge, { method: "POST", path: "/book/seat", body: "seat=1", label: "seat" }),
            );
            await sleep(BOOKING_INTERVAL_MS);
        }
    };
    const bookingsSent = sendBookings();
    for (let count = 0; count < POISON_SENDS; count++) {
        void d.send(edge, { method: "POST", path: POISON_PATH, body: POISON_BODY, label: "group" });
        await sleep(POISON_INTERVAL_MS);
    }
    isOver = true;
    await bookingsSent;
    const lost = (await Promise.all(bookings)).filter(({ status }) => status !== 200).length;
    const knownAt = crashes[KNOWN_AFTER_CRASHES - 1];
    if (d.isTroubled && knownAt === undefined) {
        throw new Error("the request crashed fewer than three instances");
    }
    const late = arrivals.filter(at => at > (knownAt ?? Infinity) + STABLE_WINDOW_MS).length;
    return {
        isBroken: late > ALLOWED_ARRIVALS,
        summary:
            `the request reached an instance ${arrivals.length} times and crashed it ${crashes.length} times; it `
            + `reached one ${late} times later than ${STABLE_WINDOW_MS} ms after the third crash `
            + `(${ALLOWED_ARRIVALS} are allowed); ${lost} of ${bookings.length} other bookings were not answered with 200`,
    };
});
