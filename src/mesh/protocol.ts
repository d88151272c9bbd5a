/** What the data plane has to know of a platform's HTTP: its header names and its rule for whole answers. */
import { createHeadParsers } from "../http/messageHead.ts";
import type { HeaderNames, HeadParsers } from "../http/messageHead.ts";

export interface TargetProtocol extends HeadParsers {
    readonly names: HeaderNames;
    /** Whether a body that ended with its connection has the length that its seal states. */
    readonly lengthMatchesSeal: (seal: string, bodyBytes: number) => boolean;
}

export function createTargetProtocol(
    names: HeaderNames,
    lengthMatchesSeal: TargetProtocol["lengthMatchesSeal"] = () => true,
): TargetProtocol {
    return { ...createHeadParsers(names), names, lengthMatchesSeal };
}
