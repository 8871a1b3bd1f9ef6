package org.burdockbay.server.wiring;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.burdockbay.server.Host;
import org.burdockbay.server.settings.HostSettings;

/** Builds a {@link Host} from its settings. */
@Singleton
@Component(modules = HostModule.class)
public interface HostComponent {

  /** Returns the host. */
  Host host();

  /** Creates {@link HostComponent} instances. */
  @Component.Factory
  interface Factory {

    /** Creates the component for the given settings. */
    HostComponent create(@BindsInstance HostSettings settings);
  }
}
