import {CustomerV2} from './customer_schema.js';
import {Customer} from './customer.js';
import {DeploymentV2, toDeployment} from './deployment_schema.js';
import {Deployment} from './deployment.js';
import {parseRecord} from './parse_record.js';
import {ServerDocument} from './server_schema.js';
import {Server} from './server.js';
import {RecordKind, StoredRecord} from './stored_record.js';

/** The parsed records of one revision. */
export interface ConfigurationView {
  readonly revision: number;
  readonly deployments: ReadonlyMap<string, Deployment>;
  readonly customers: ReadonlyMap<string, Customer>;
  readonly servers: ReadonlyMap<string, Server>;
  /** Customers by the SHA-256 hash of each of their keys. */
  readonly customersByKeyHash: ReadonlyMap<string, Customer>;
}

/** A view, and the records that this release could not parse. */
export interface ParsedConfiguration {
  readonly view: ConfigurationView;
  /**
   * Keys of records that could not be parsed, such as those of unknown schema
   * versions. They are left out of the view, but stored and passed on.
   */
  readonly unreadable: readonly string[];
}

/**
 * Parses stored records into a view.
 * @param revision - Revision of the records.
 * @param records - All records, including deleted ones.
 */
export function createView(
  revision: number,
  records: Iterable<StoredRecord>,
): ParsedConfiguration {
  const deployments = new Map<string, Deployment>();
  const customers = new Map<string, Customer>();
  const servers = new Map<string, Server>();
  const customersByKeyHash = new Map<string, Customer>();
  const unreadable: string[] = [];
  for (const record of records) {
    if (record.document === null) {
      continue;
    }
    const parsed = parseRecord(record.document);
    if (parsed.isErr) {
      unreadable.push(`${record.kind}/${record.name}`);
      continue;
    }
    if (record.kind === RecordKind.DEPLOYMENT) {
      const document = parsed.value as unknown as DeploymentV2;
      deployments.set(record.name, toDeployment(document));
    } else if (record.kind === RecordKind.CUSTOMER) {
      const customer = toCustomer(parsed.value as unknown as CustomerV2);
      customers.set(record.name, customer);
      for (const hash of customer.keyHashes) {
        customersByKeyHash.set(hash, customer);
      }
    } else {
      const document = parsed.value as unknown as ServerDocument;
      servers.set(record.name, toServer(document));
    }
  }
  const view = {
    revision,
    deployments,
    customers,
    servers,
    customersByKeyHash,
  };
  return {view, unreadable};
}

function toCustomer(document: CustomerV2): Customer {
  const {name, keyHashes, weight, mostUrgent} = document;
  return {name, keyHashes, weight, mostUrgent};
}

function toServer(document: ServerDocument): Server {
  return {
    name: document.name,
    kind: document.runs,
    dataCentre: document.dataCentre,
    zone: document.zone,
    machineClass: document.machineClass,
    address: document.address,
    service: document.service,
    checksFence: document.checksFence,
    drained: document.drained,
  };
}
