/** `filbertspool check`: validates a file set offline. */
import { readFileSet } from "../files.ts";
import type { Print } from "../publish.ts";

export function runCheck(directory: string, print: Print): void {
    const { kinds, services } = readFileSet(directory);
    print(`${directory}: valid, ${kinds.length} kinds, ${services.length} services`);
}
