// Builds dist/filbertspool: bundles the program, then packages it as a Node.js single executable application. The
// program sets V8's heap flags itself when it starts (src/heapFlags.ts).
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";

// Marker in the Node.js executable, which postject changes to tell Node.js that an application has been added.
const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

mkdirSync("dist", { recursive: true });
await build({
    entryPoints: ["src/main.ts"],
    outfile: "dist/bundle.cjs",
    bundle: true,
    minify: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    logLevel: "warning",
});
writeFileSync(
    "dist/sea.json",
    JSON.stringify({
        main: "dist/bundle.cjs",
        output: "dist/sea.blob",
        disableExperimentalSEAWarning: true,
        useCodeCache: false,
    }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], {
    stdio: ["ignore", "ignore", "inherit"],
});
copyFileSync(process.execPath, "dist/filbertspool.tmp");
chmodSync("dist/filbertspool.tmp", 0o755);
const postject = createRequire(import.meta.url).resolve("postject/dist/cli.js");
execFileSync(
    process.execPath,
    [postject, "dist/filbertspool.tmp", "NODE_SEA_BLOB", "dist/sea.blob", "--sentinel-fuse", SEA_FUSE],
    { stdio: ["ignore", "ignore", "inherit"] },
);
execFileSync("mv", ["dist/filbertspool.tmp", "dist/filbertspool"]);
