/** Helpers for tests of the control log: configuration records, and reads of configuration versions. */
import { bootstrap } from "../../src/checkpoints.ts";
import type { ControlState } from "../../src/controlLog.ts";
import type { ConfigRecord } from "../../src/logRecords.ts";
import { NO_BASE } from "../../src/logRecords.ts";
import type { ReplacedService } from "../../src/types.ts";
import type { FakeNode } from "../fakes/fakeNode.ts";
import { createConfiguration, type World } from "../fakes/world.ts";

export function createConfigRecord(
    id: string,
    base = NO_BASE,
    replacedServices: readonly ReplacedService[] = [],
): ConfigRecord {
    return {
        type: "config",
        id,
        base,
        author: "test",
        configuration: createConfiguration({ replacedServices }),
    };
}

/** Returns the state that a new reader obtains from the whole log. */
export function readWholeLog(world: World): Promise<ControlState | undefined> {
    const { log } = world;
    return bootstrap(async from =>
        from < log.first
            ? { type: "gone", first: log.first }
            : { type: "batch", batch: log.read(from) }
    );
}

/** Appends a configuration based on the current version. Does nothing when the log cannot be read. */
export async function applyConfig(world: World, id: string): Promise<void> {
    const current = await readWholeLog(world);
    if (current !== undefined) world.appendToLog(createConfigRecord(id, current.config?.id));
}

export function configNumberOf(node: FakeNode): number {
    return node.state.control.config?.number ?? 0;
}

export function configIds(world: World): readonly (string | undefined)[] {
    return [...new Set(world.nodes.filter(node => node.alive).map(node => node.state.control.config?.id))];
}
