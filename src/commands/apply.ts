/** `filbertspool apply`: publishes a file set as one version and waits until the nodes have put it in force. */
import { userInfo } from "node:os";
import { readFileSet } from "../files.ts";
import { LogClient } from "../logClient.ts";
import type { Print } from "../publish.ts";
import { publish } from "../publish.ts";
import type { Environment, Flags } from "../settings.ts";
import { readUrl, SettingsReader } from "../settings.ts";
import {
    checkFlags,
    EXPECTED_LOG_URL,
    readNodes,
    readNonNegativeInteger,
    readPeerKey,
    readPositiveNumber,
} from "./flags.ts";

const DEFAULT_TIMEOUT_S = 30;
const MAX_AUTHOR_LENGTH = 256;

export async function runApply(
    directory: string,
    flags: Flags,
    env: Environment,
    print: Print,
): Promise<void> {
    const reader = new SettingsReader(flags, env);
    const logUrl = reader.required("log-url", readUrl, EXPECTED_LOG_URL);
    const nodes = readNodes(reader);
    const peerKey = readPeerKey(reader);
    const base = reader.optional("base", readNonNegativeInteger, "the number of a version, 0 for none");
    const timeoutS = reader.optional("timeout-s", readPositiveNumber, "a number of seconds over 0")
        ?? DEFAULT_TIMEOUT_S;
    const author = reader.optional(
        "author",
        text => text.length > 0 && text.length <= MAX_AUTHOR_LENGTH ? text : undefined,
        `a text of 1 to ${MAX_AUTHOR_LENGTH} characters`,
    );
    checkFlags(reader);
    const configuration = readFileSet(directory);
    const log = new LogClient(logUrl!);
    try {
        await publish({
            log,
            configuration,
            author: author ?? userInfo().username,
            base,
            nodes,
            peerKey,
            timeoutMs: timeoutS * 1_000,
            print,
        });
    }
    finally {
        await log.close();
    }
}
