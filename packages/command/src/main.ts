#!/usr/bin/env node
/**
 * The `marigoldford` command: reads arguments and calls the parts.
 */
import process from "node:process";
import { runCommandLine } from "./command_line.ts";

process.exitCode = await runCommandLine(process.argv.slice(2));
