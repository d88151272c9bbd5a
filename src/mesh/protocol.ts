/** HTTP conventions of a platform: the names of its header fields, and a check that a response is complete. */
import { createHeadParsers } from "../http/messageHead.ts";
import type { HeaderNames, HeadParsers } from "../http/messageHead.ts";

export interface TargetProtocol extends HeadParsers {
    readonly names: HeaderNames;
    /**
     * Whether a response body has the length stated in the seal, which is the target's signature of the response.
     * Called for bodies that end with their connection, where a lost connection looks the same as the end of the body.
     */
    readonly lengthMatchesSeal: (seal: string, bodyBytes: number) => boolean;
}

export function createTargetProtocol(
    names: HeaderNames,
    lengthMatchesSeal: TargetProtocol["lengthMatchesSeal"] = () => true,
): TargetProtocol {
    return { ...createHeadParsers(names), names, lengthMatchesSeal };
}
