/**
 * Bundles the entry into one file, which starts faster than separate modules.
 */
import { build } from "esbuild";

await build({
  entryPoints: ["platform/dist/main.js"],
  outfile: "target/marigoldford.mjs",
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  banner: {
    js: 'import { createRequire as makeRequire } from "node:module";' +
      "const require = makeRequire(import.meta.url);",
  },
});
