/**
 * `filbertspool node`: runs the node beside a target. The first SIGTERM or SIGINT drains the node, a second one ends
 * the process at once.
 */
import { NodeRuntime } from "../runtime.ts";
import type { Environment, Flags } from "../settings.ts";
import { parseNodeSettings } from "../settings.ts";

export async function runNode(flags: Flags, env: Environment): Promise<void> {
    const settings = parseNodeSettings(flags, env);
    const runtime = new NodeRuntime({
        settings,
        onExit: () => process.exit(0),
    });
    let signals = 0;
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        process.on(signal, () => {
            signals++;
            if (signals > 1) process.exit(1);
            runtime.drain();
        });
    }
    await runtime.start();
}
