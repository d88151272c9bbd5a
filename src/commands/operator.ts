/** Commands of operators: `check`, `apply` and `status`. */
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import { request } from "undici";
import { createControlState, replayRecord } from "../controlLog.ts";
import type { ControlState, RecordVerdict } from "../controlLog.ts";
import { CommandError } from "../errors.ts";
import { SettingsError } from "../errors.ts";
import { readFileSet } from "../files.ts";
import { LogClient } from "../logClient.ts";
import type { ConfigRecord } from "../logRecords.ts";
import { NO_BASE } from "../logRecords.ts";
import type { Environment, Flags } from "../settings.ts";
import { readAddress, readUrl, SettingsReader } from "../settings.ts";

type Print = (line: string) => void;

const READ_WAIT_MS = 1_000;

export function runCheck(directory: string, print: Print): void {
    const configuration = readFileSet(directory);
    print(
        `${directory}: valid, ${configuration.kinds.length} kinds, ${configuration.services.length} services`,
    );
}

export async function runApply(
    directory: string,
    flags: Flags,
    env: Environment,
    print: Print,
): Promise<void> {
    const configuration = readFileSet(directory);
    const reader = new SettingsReader(flags, env);
    const logUrl = reader.required("log-url", readUrl, "a URL such as http://127.0.0.1:7900");
    if (logUrl === undefined || reader.issues.length > 0) throw new SettingsError(reader.issues);
    const log = new LogClient(logUrl);
    try {
        const before = await readToTail(log, createControlState());
        const record: ConfigRecord = {
            type: "config",
            id: randomUUID(),
            base: before.control.config?.id ?? NO_BASE,
            author: userInfo().username,
            configuration,
        };
        await log.append(record);
        const after = await readToTail(log, before.control, record.id);
        const current = after.control.config;
        if (after.verdict !== "accepted") {
            const message =
                `superseded by version ${current?.number} of ${current?.author}; run diff and apply again`;
            throw new CommandError([{ code: "superseded", path: [], message }]);
        }
        print(`version ${current?.number} accepted`);
    }
    finally {
        await log.close();
    }
}

async function readToTail(
    log: LogClient,
    start: ControlState,
    until?: string,
): Promise<{ readonly control: ControlState; readonly verdict?: RecordVerdict; }> {
    let control = start;
    let verdict: RecordVerdict | undefined;
    for (;;) {
        const result = await log.read(control.offset + 1, until === undefined ? 0 : READ_WAIT_MS);
        if (result.type === "gone") {
            control = { ...control, offset: result.first - 1 };
            continue;
        }
        for (const { offset, record } of result.batch.records) {
            const replayed = replayRecord(control, offset, record);
            control = replayed.state;
            if (record.id === until) verdict ??= replayed.verdict;
        }
        const done = until === undefined ? result.batch.next >= result.batch.tail : verdict !== undefined;
        if (done) return verdict === undefined ? { control } : { control, verdict };
    }
}

export async function runStatus(flags: Flags, env: Environment, print: Print): Promise<void> {
    const reader = new SettingsReader(flags, env);
    const node = reader.required("node", readAddress, "the peer address of a node, such as 127.0.0.1:7000");
    if (node === undefined || reader.issues.length > 0) throw new SettingsError(reader.issues);
    const response = await request(`http://${node.host}:${node.port}/status`);
    print(JSON.stringify(await response.body.json(), undefined, 4));
}
