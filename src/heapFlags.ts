/**
 * V8 flags that keep the heap of a node small; imported first by the program. A single executable cannot carry
 * flags with Node.js 20, and only flags that V8 reads at each collection have an effect once it runs.
 */
import { setFlagsFromString } from "node:v8";

/** Young generation stays at its first size (1 MiB semi-spaces); the default lets it grow to 48 MiB in all. */
setFlagsFromString("--semi-space-growth-factor=1");
/** The old generation is collected after it has grown by this much; by default it may grow to a multiple. */
setFlagsFromString("--heap-growing-percent=30");
