/**
 * Sets V8 flags that keep the heap of a node small. The program imports this module first. With Node.js 20, a
 * single executable application cannot carry flags, and of the flags that are set at run time, only those that
 * V8 reads at each garbage collection have an effect.
 */
import { setFlagsFromString } from "node:v8";

/** Keeps the young generation at its initial size (semi-spaces of 1 MiB). By default it grows up to 48 MiB. */
setFlagsFromString("--semi-space-growth-factor=1");
/** Collects the old generation when it has grown by 30%. By default it may grow to a multiple of its size. */
setFlagsFromString("--heap-growing-percent=30");
