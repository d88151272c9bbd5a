/** A platform's HTTP conventions as the data plane uses them: header names, check for complete responses. */
import { createHeadParsers } from "../http/messageHead.ts";
import type { HeaderNames, HeadParsers } from "../http/messageHead.ts";

export interface TargetProtocol extends HeadParsers {
    readonly names: HeaderNames;
    /** Whether a body that was delimited by the end of its connection has the length that its seal states. */
    readonly lengthMatchesSeal: (seal: string, bodyBytes: number) => boolean;
}

export function createTargetProtocol(
    names: HeaderNames,
    lengthMatchesSeal: TargetProtocol["lengthMatchesSeal"] = () => true,
): TargetProtocol {
    return { ...createHeadParsers(names), names, lengthMatchesSeal };
}
