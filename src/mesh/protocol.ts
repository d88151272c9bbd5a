/** What the data plane has to know of a platform's HTTP: its header names and its rule for whole answers. */
import { createHeadParsers } from "../http/heads.ts";
import type { HeaderVocabulary, HeadParsers } from "../http/heads.ts";

export interface TargetProtocol extends HeadParsers {
    readonly names: HeaderVocabulary;
    /** Whether a body that ended with its connection has the length that its seal states. */
    readonly isSealedLength: (seal: string, bodyBytes: number) => boolean;
}

export function createProtocol(
    names: HeaderVocabulary,
    isSealedLength: TargetProtocol["isSealedLength"] = () => true,
): TargetProtocol {
    return { ...createHeadParsers(names), names, isSealedLength };
}
