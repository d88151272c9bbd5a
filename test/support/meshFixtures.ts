/** Values of the data plane for tests. */
import type { MeshConfig, Route } from "../../src/mesh/types.ts";

export function makeRoute(fields: Partial<Route> = {}): Route {
    return {
        name: "r",
        pathPrefix: "/r/",
        isIdempotent: true,
        timeoutMs: 2000,
        latencyObjectiveMs: 1000,
        priority: 1,
        maxAttempts: 2,
        services: [{ service: "s", weight: 1 }],
        ...fields,
    };
}

export function makeConfig(fields: Partial<MeshConfig> = {}): MeshConfig {
    return {
        version: 1,
        hosts: new Map(),
        services: new Map(),
        limits: {
            maxHeaderBytes: 16_384,
            maxBodyBytes: 1 << 20,
            headerTimeoutMs: 3000,
            idleTimeoutMs: 15_000,
        },
        encoded: Buffer.alloc(0),
        ...fields,
    };
}
