import type {PublishedDocument} from '@vanillamux/protocol';
import {EventBus} from '@vanillamux/shared';
import type {PublishAnswer} from './publish_answer.js';
import {PublishVerdict} from './publish_verdict.js';

/** Holds the published document with the highest version. */
export class PublishedState {
  /** Emits the version whenever a document is published or loaded. */
  readonly versions = new EventBus<number>();
  private document?: PublishedDocument;

  /** The document in force, if any. */
  get current(): PublishedDocument | undefined {
    return this.document;
  }

  /** Version in force; -1 if there is no document. */
  get version(): number {
    return this.document?.version ?? -1;
  }

  /** Stores the document if its version is higher than the one in force. */
  publish({version, digest, text}: PublishedDocument): PublishAnswer {
    const current = this.document;
    if (current && version <= current.version) {
      const conflicts =
        version === current.version && digest !== current.digest;
      return {
        verdict: conflicts ? PublishVerdict.Conflict : PublishVerdict.Unchanged,
        version: current.version,
      };
    }
    this.document = {version, digest, text};
    this.versions.emit(version);
    return {verdict: PublishVerdict.Stored, version};
  }

  load(document: PublishedDocument | undefined): void {
    this.document = document;
    if (document) this.versions.emit(document.version);
  }
}
