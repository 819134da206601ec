#!/usr/bin/env node
/**
 * The `marigoldford` executable: runs its arguments as a command line.
 */
import process from "node:process";
import { runCommandLine } from "./command_line.ts";

process.exitCode = await runCommandLine(process.argv.slice(2));
