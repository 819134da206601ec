/**
 * Test settings: workspace imports resolve to sources, seeds are fixed, and
 * files that start processes run one after another.
 */
import { fileURLToPath } from "node:url";
import { defineConfig } from "vitest/config";

const PACKAGES = fileURLToPath(new URL("./packages", import.meta.url));

const PLATFORM = fileURLToPath(new URL("./platform", import.meta.url));

export default defineConfig({
  resolve: {
    alias: [{
      find: /^@marigoldford\/platform\/([a-z_]+)$/,
      replacement: `${PLATFORM}/src/$1.ts`,
    }, {
      find: /^@marigoldford\/([a-z_]+)\/([a-z_]+)$/,
      replacement: `${PACKAGES}/$1/src/$2.ts`,
    }],
  },
  test: {
    include: [
      "packages/*/src/**/*_test.ts",
      "platform/src/*_test.ts",
      "examples/*_test.ts",
    ],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    fileParallelism: false,
  },
});
