/** `filbertspool standin-log` and `filbertspool standin-target`: stand-ins for the platform, for tests and trials. */
import { SettingsError } from "../errors.ts";
import type { Environment, Flags } from "../settings.ts";
import { readAddress, readName, SettingsReader } from "../settings.ts";
import { LogService } from "../standins/logService.ts";
import { Target } from "../standins/target.ts";

const ADDRESS = "an address such as 127.0.0.1:7900";

function readCount(text: string): number | undefined {
    return /^\d+$/.test(text) ? Number(text) : undefined;
}

export async function runStandinLog(flags: Flags, env: Environment): Promise<void> {
    const reader = new SettingsReader(flags, env);
    const address = reader.required("listen", readAddress, ADDRESS);
    const retentionMs = reader.optional("retention-ms", readCount, "a number of milliseconds");
    if (address === undefined || reader.issues.length > 0) throw new SettingsError(reader.issues);
    const service = new LogService({ address, ...(retentionMs === undefined ? {} : { retentionMs }) });
    await service.start();
}

export async function runStandinTarget(flags: Flags, env: Environment): Promise<void> {
    const reader = new SettingsReader(flags, env);
    const service = reader.required("service", readName, "a service name");
    const address = reader.required("listen", readAddress, ADDRESS);
    const egress = reader.required("egress", readAddress, ADDRESS);
    const slots = reader.optional("slots", readCount, "a number of slots");
    const serviceMs = reader.optional("service-ms", readCount, "a number of milliseconds");
    const calls = reader.optional("calls", text => text.split(","), "service names separated by commas")
        ?? [];
    if (service === undefined || address === undefined || egress === undefined || reader.issues.length > 0) {
        throw new SettingsError(reader.issues);
    }
    const target = new Target({
        service,
        address,
        egress,
        calls,
        ...(slots === undefined ? {} : { slots }),
        ...(serviceMs === undefined ? {} : { serviceMs }),
    });
    await target.start();
}
