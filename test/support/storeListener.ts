/** A listener of a control store that ignores what it is told, except for what a test overrides. */
import type { ControlStoreListener } from "../../src/mesh/controlStore.ts";

export function createStoreListener(overrides: Partial<ControlStoreListener> = {}): ControlStoreListener {
    return {
        onConfig: () => undefined,
        onNode: () => undefined,
        departureSince: () => undefined,
        onNewEra: () => undefined,
        onNodesRead: () => undefined,
        onReachable: () => undefined,
        role: () => ({ kind: "rest" }),
        hasConfig: () => false,
        ...overrides,
    };
}
