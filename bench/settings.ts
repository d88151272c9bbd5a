/** Models of the two deployments in the design page, called settings: sizes, call graphs and mixes of requests. */
import type { Configuration, Kind } from "../src/types.ts";
import { createConfiguration, createKind } from "../test/fakes/world.ts";

export interface ServiceSetting {
    readonly name: string;
    readonly instances: number;
    readonly slots: number;
    readonly connections: number;
    /**
     * Mean service time without downstream calls. It is long, so that the stated slots correspond to call rates that
     * are low enough to simulate.
     */
    readonly serviceMs: number;
    /** Downstream services by kind of request. */
    readonly calls: Readonly<Record<string, readonly string[]>>;
}

export interface KindSetting {
    readonly kind: Kind;
    readonly entry: string;
    /** Share of the offered load; the shares of a setting sum to 1. */
    readonly share: number;
}

export interface Setting {
    readonly name: string;
    readonly dataCentres: readonly string[];
    readonly callerDelayMs: number;
    readonly bottleneck: string;
    readonly services: readonly ServiceSetting[];
    readonly kinds: readonly KindSetting[];
}

/** Calendar calls booking or gallery, and booking and footage call gallery, so every call chain ends at gallery. */
export const sriharikota: Setting = {
    name: "sriharikota",
    dataCentres: ["a", "b", "c"],
    callerDelayMs: 3,
    bottleneck: "gallery",
    services: [
        {
            name: "calendar",
            instances: 5,
            slots: 300,
            connections: 2_000,
            serviceMs: 100,
            calls: {
                book: ["booking"],
                cancel: ["booking"],
                browse: ["gallery"],
                lookup: ["gallery"],
            },
        },
        {
            name: "booking",
            instances: 4,
            slots: 200,
            connections: 1_300,
            serviceMs: 100,
            calls: { book: ["gallery"], cancel: ["gallery"] },
        },
        {
            name: "footage",
            instances: 3,
            slots: 340,
            connections: 2_200,
            serviceMs: 150,
            calls: { footage: ["gallery"] },
        },
        { name: "gallery", instances: 4, slots: 50, connections: 400, serviceMs: 400, calls: {} },
    ],
    kinds: [
        createKindSetting("book", "calendar", 0.04, {
            priority: 0,
            worth: 20,
            nonIdempotent: true,
            deadlineMs: 4_000,
        }),
        createKindSetting("cancel", "calendar", 0.02, {
            priority: 0,
            worth: 10,
            nonIdempotent: true,
            deadlineMs: 4_000,
        }),
        createKindSetting("browse", "calendar", 0.54, { priority: 3, worth: 1, deadlineMs: 3_000 }),
        createKindSetting("footage", "footage", 0.25, { priority: 5, worth: 0.5, deadlineMs: 3_000 }),
        createKindSetting("lookup", "calendar", 0.15, { priority: 6, worth: 0, deadlineMs: 3_000 }),
    ],
};

/** Index and report call forecast, and alert calls report, so every call chain ends at forecast. */
export const zonnewacht: Setting = {
    name: "zonnewacht",
    dataCentres: ["a", "b", "c", "d"],
    callerDelayMs: 8,
    bottleneck: "forecast",
    services: [
        {
            name: "index",
            instances: 5,
            slots: 150,
            connections: 1_000,
            serviceMs: 60,
            calls: { refresh: ["forecast"], check: ["forecast"] },
        },
        {
            name: "alert",
            instances: 4,
            slots: 140,
            connections: 1_000,
            serviceMs: 60,
            calls: { cancellation: ["report"] },
        },
        {
            name: "report",
            instances: 4,
            slots: 130,
            connections: 900,
            serviceMs: 80,
            calls: { cancellation: ["forecast"], report: ["forecast"] },
        },
        { name: "forecast", instances: 5, slots: 20, connections: 230, serviceMs: 200, calls: {} },
    ],
    kinds: [
        createKindSetting("cancellation", "alert", 0.04, {
            priority: 0,
            worth: 20,
            nonIdempotent: true,
            deadlineMs: 4_000,
        }),
        createKindSetting("check", "index", 0.02, { priority: 0, worth: 5, deadlineMs: 3_000 }),
        createKindSetting("refresh", "index", 0.5, { priority: 2, worth: 1, deadlineMs: 3_000 }),
        createKindSetting("lookup", "forecast", 0.29, { priority: 3, worth: 0.8, deadlineMs: 3_000 }),
        createKindSetting("report", "report", 0.15, { priority: 5, worth: 0.5, deadlineMs: 3_000 }),
    ],
};

export const settings: readonly Setting[] = [sriharikota, zonnewacht];

function createKindSetting(name: string, entry: string, share: number, opts: Partial<Kind>): KindSetting {
    return { kind: createKind(name, opts), entry, share };
}

export function configurationOf(setting: Setting): Configuration {
    return createConfiguration({
        kinds: setting.kinds.map(({ kind }) => kind),
        services: setting.services.map(service => ({
            name: service.name,
            defaultKind: setting.kinds[0]!.kind.name,
            calls: [...new Set(Object.values(service.calls).flat())],
            connections: service.connections,
        })),
    });
}

export function findService(setting: Setting, name: string): ServiceSetting {
    const service = setting.services.find(found => found.name === name);
    if (service === undefined) throw new Error(`no service ${name} in ${setting.name}`);
    return service;
}

/** Requests per second that the bottleneck can finish. Each request passes the bottleneck once. */
export function capacityOf(setting: Setting): number {
    const { instances, slots, serviceMs } = findService(setting, setting.bottleneck);
    return instances * slots * 1_000 / serviceMs;
}
