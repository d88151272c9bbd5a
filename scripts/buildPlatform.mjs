// Builds target/filbertspool.cjs, the node for the users' platform. It is a plain bundle, because a packaged executable
// makes the start of a process more expensive.
import { build } from "esbuild";

await build({
    entryPoints: ["platform/main.ts"],
    outfile: "target/filbertspool.cjs",
    bundle: true,
    minify: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    logLevel: "warning",
});
