/**
 * A minimal HTTP forwarder: a `node:http` server and one pool of keep-alive
 * connections to one backend server. It makes no placement decisions and is the
 * baseline for the time and memory that an entry adds.
 */
import { Agent, createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { stopWithParent } from "@marigoldford/stand_ins/stop_with_parent";

const [host, port] = process.argv[2].split(":");
const agent = new Agent({ keepAlive: true });

const server = createServer((incoming, outgoing) => {
  const sent = request({
    host,
    port: Number(port),
    agent,
    method: incoming.method,
    path: incoming.url,
    headers: incoming.headers,
  }, (answer) => {
    outgoing.writeHead(answer.statusCode ?? 502, answer.headers);
    answer.pipe(outgoing);
  });
  sent.on("error", () => outgoing.destroy());
  incoming.pipe(sent);
});
server.listen(0, "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  const line = { event: "listening", address: `127.0.0.1:${port}` };
  process.stdout.write(JSON.stringify(line) + "\n");
});
stopWithParent();
