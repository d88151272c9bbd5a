/** What the data plane has to know of a platform's HTTP: its header names and its rule for whole answers. */
import { createHeadParsers } from "../http/heads.ts";
import type { HeaderVocabulary, HeadParsers } from "../http/heads.ts";

export interface TargetProtocol extends HeadParsers {
    readonly names: HeaderVocabulary;
    /** Whether a body that ended with its connection has the length that its seal states. */
    readonly lengthMatchesSeal: (seal: string, bodyBytes: number) => boolean;
}

export function createTargetProtocol(
    names: HeaderVocabulary,
    lengthMatchesSeal: TargetProtocol["lengthMatchesSeal"] = () => true,
): TargetProtocol {
    return { ...createHeadParsers(names), names, lengthMatchesSeal };
}
