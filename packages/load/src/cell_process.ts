/**
 * Runs one benchmark cell in its own process and prints the result as JSON.
 */
import process from "node:process";
import { type CellOptions, runCell } from "./cell.ts";

const options = JSON.parse(process.argv[2]) as CellOptions;
const result = await runCell(options);
process.stdout.write(JSON.stringify(result) + "\n");
