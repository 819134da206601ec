/**
 * A worker that finds the process at the near end of loopback connections, by
 * the inodes of their sockets.
 */
import { readdirSync, readFileSync, readlinkSync } from "node:fs";
import { parentPort } from "node:worker_threads";

/** Inodes of sockets by their local and remote ports. */
function socketInodes() {
  const inodes = new Map();
  for (const line of readFileSync("/proc/net/tcp", "utf8").split("\n")) {
    const [, local, remote, , , , , , , inode] = line.trim().split(/\s+/);
    if (inode === undefined) continue;
    const port = (address) => parseInt(address.split(":")[1], 16);
    inodes.set(`${port(local)} ${port(remote)}`, inode);
  }
  return inodes;
}

/** Inodes of the sockets that a process holds. */
function inodesOf(pid) {
  const inodes = new Set();
  const folder = `/proc/${pid}/fd`;
  for (const descriptor of readdirSync(folder)) {
    try {
      const text = readlinkSync(`${folder}/${descriptor}`);
      const inode = /^socket:\[(\d+)\]$/.exec(text)?.[1];
      if (inode !== undefined) inodes.add(inode);
    } catch { /* It was closed meanwhile. */ }
  }
  return inodes;
}

let waiting = [];

/** Answers which of the asked connections belong to one of the processes. */
parentPort.on("message", (question) => {
  waiting.push(question);
  if (waiting.length > 1) return;
  setImmediate(() => {
    const questions = waiting;
    waiting = [];
    const inodes = socketInodes();
    const pids = new Set(questions.flatMap(({ pids }) => pids));
    const held = new Map([...pids].map((pid) => [pid, inodesOf(pid)]));
    for (const { number, connections, pids } of questions) {
      const owned = connections.map((ports) =>
        pids.some((pid) => held.get(pid).has(inodes.get(ports)))
      );
      parentPort.postMessage({ number, owned });
    }
  });
});
